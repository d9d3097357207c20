#include "platform/object_store.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "invalid_status_lines.h"
#include "scripted_server.h"
#include "transport/tcp_listener.h"

namespace crocusdoor::platform {

namespace {

constexpr std::uint16_t store_port = 23'901;

/// A store that sends one response on each connection and ignores every further request. It never
/// responds to a watch.
class single_response_store {
 public:
  explicit single_response_store(event_loop& loop)
      : loop_(loop), listener_(loop, {"127.0.0.1", store_port}, [this](std::intptr_t descriptor) {
          accept(descriptor);
        }) {}
  ~single_response_store() {
    for (const auto& entry : connections_) {
      bufferevent_free(entry->stream);
    }
  }
  single_response_store(const single_response_store&) = delete;
  single_response_store& operator=(const single_response_store&) = delete;

  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

 private:
  struct connection {
    bufferevent* stream = nullptr;
    bool responded = false;
  };

  void accept(std::intptr_t descriptor) {
    connections_.push_back(std::make_unique<connection>());
    connection& accepted = *connections_.back();
    accepted.stream = bufferevent_socket_new(loop_.base(), static_cast<evutil_socket_t>(descriptor),
                                             BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(accepted.stream, &single_response_store::on_read, nullptr, nullptr,
                      &accepted);
    bufferevent_enable(accepted.stream, EV_READ | EV_WRITE);
  }

  static void on_read(bufferevent* stream, void* context) {
    auto& receiver = *static_cast<connection*>(context);
    evbuffer* input = bufferevent_get_input(stream);
    std::string received(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, received.data(), received.size());
    const bool is_watch = received.find("watch=") != std::string::npos;
    if (!is_watch && !std::exchange(receiver.responded, true)) {
      const std::string response = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
      bufferevent_write(stream, response.data(), response.size());
    }
  }

  event_loop& loop_;
  std::vector<std::unique_ptr<connection>> connections_;
  tcp_listener listener_;
};

store_outcome read_once(event_loop& loop, object_store& store) {
  store_outcome outcome = store_outcome::done;
  store.read_configuration([&](const configuration_read_result& result) {
    outcome = result.outcome;
    loop.stop();
  });
  loop.run();
  return outcome;
}

}  // namespace

TEST_CASE("after a call to the store has timed out, idle connections are not used again",
          "[platform_adapter][F7]") {
  event_loop loop;
  const single_response_store server(loop);
  object_store store(loop, {"127.0.0.1", store_port});
  REQUIRE(read_once(loop, store) == store_outcome::not_found);

  SECTION("after a watch without a response") {
    store.watch_configuration(1, std::chrono::milliseconds(10),
                              [&](const configuration_read_result& result) {
                                CHECK(result.outcome == store_outcome::unknown);
                                loop.stop();
                              });
    loop.run();
    CHECK(read_once(loop, store) == store_outcome::not_found);
  }
  SECTION("after a call without a response") {
    CHECK(read_once(loop, store) == store_outcome::unknown);
    CHECK(read_once(loop, store) == store_outcome::not_found);
  }
}

TEST_CASE("the era in the responses of the store", "[platform_adapter]") {
  // Failure guarded against: content of the time before the store went back to an older copy was
  // used after it.
  event_loop loop;
  std::string stated = "Store-Era: 4\r\n";
  std::vector<std::string> bodies;
  const scripted_server server(loop, store_port, [&](auto& connection, const std::string& request) {
    if (request.find("watch=") != std::string::npos) {
      return;
    }
    const std::string body = bodies.empty() ? "{}" : bodies.front();
    const char* status = bodies.empty() ? "404 Not Found" : "200 OK";
    if (!bodies.empty()) {
      bodies.erase(bodies.begin());
    }
    connection.write("HTTP/1.1 " + std::string(status) + "\r\n" + stated +
                     "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    if (bodies.size() == 1) {
      stated = "Store-Era: 6\r\n";
    }
  });
  object_store store(loop, {"127.0.0.1", store_port});
  std::vector<std::pair<std::uint64_t, std::uint64_t>> changes;
  store.on_new_era(
      [&](const era_change& change) { changes.emplace_back(change.previous, change.era); });
  REQUIRE(read_once(loop, store) == store_outcome::not_found);
  REQUIRE(store.era() == 4);

  SECTION("is reported once when it rises, by refusals too") {
    stated = "Store-Era: 5\r\n";
    CHECK(read_once(loop, store) == store_outcome::not_found);
    CHECK(read_once(loop, store) == store_outcome::not_found);
    CHECK(changes == std::vector<std::pair<std::uint64_t, std::uint64_t>>{{4, 5}});
  }
  SECTION("makes a response count as not answered if a newer one is known") {
    store.peer_reported_era(5);
    CHECK(read_once(loop, store) == store_outcome::unknown);
    CHECK(store.era() == 5);
  }
  SECTION("is not required, and a value that is no number counts as none") {
    stated = GENERATE(as<std::string>{}, "", "Store-Era: x\r\n", "Store-Era: -1\r\n",
                      "Store-Era: 3 2\r\n");
    CHECK(read_once(loop, store) == store_outcome::not_found);
    CHECK(changes.empty());
  }
  SECTION("must be the same for all pages of a listing") {
    const std::string entry =
        R"({"metadata":{"name":"d","revision":3},"spec":{"endpoint":"127.0.0.1:1"}})";
    bodies = {R"({"items":[)" + entry + R"(],"truncated":true})", R"({"items":[]})"};
    daemon_listing received;
    store.list_daemons([&](const daemon_listing& listing) {
      received = listing;
      loop.stop();
    });
    loop.run();
    CHECK(received.outcome == store_outcome::unknown);
    CHECK(received.revisions.empty());
  }
  SECTION("a watch that is cancelled does not call back, and the next one is sent") {
    store.watch_configuration(1, std::chrono::milliseconds(10),
                              [&](const configuration_read_result&) { FAIL("cancelled"); });
    store.cancel_watch();
    store.watch_configuration(1, std::chrono::milliseconds(10),
                              [&](const configuration_read_result&) { loop.stop(); });
    loop.run();
  }
}

TEST_CASE("a response with an invalid status line is no answer of the store",
          "[platform_adapter][P4]") {
  // Guards against a call to the store that waits until its deadline, because a status below 100
  // counts as an interim response, and against a status that counts as success or as refusal.
  const std::string line =
      GENERATE(from_range(invalid_status_lines.begin(), invalid_status_lines.end()));
  INFO(line);
  event_loop loop;
  scripted_server server(loop, store_port, [&](auto& connection, const std::string&) {
    connection.write(with_status_line(line));
  });
  object_store store(loop, {"127.0.0.1", store_port});
  const time_point begin = loop.now();
  CHECK(read_once(loop, store) == store_outcome::unknown);
  CHECK(loop.now() - begin < std::chrono::milliseconds(500));
}

}  // namespace crocusdoor::platform

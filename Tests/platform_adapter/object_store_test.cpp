#include "platform/object_store.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "transport/tcp_listener.h"

namespace crocusdoor::platform {

namespace {

constexpr std::uint16_t store_port = 23'901;

/// A store whose connections bring one answer and are silent from then on. Watches get none.
class forgetful_store {
 public:
  explicit forgetful_store(event_loop& loop)
      : loop_(loop), listener_(loop, {"127.0.0.1", store_port}, [this](std::intptr_t descriptor) {
          accept(descriptor);
        }) {}
  ~forgetful_store() {
    for (const auto& one : connections_) {
      bufferevent_free(one->stream);
    }
  }
  forgetful_store(const forgetful_store&) = delete;
  forgetful_store& operator=(const forgetful_store&) = delete;

  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

 private:
  struct connection {
    bufferevent* stream = nullptr;
    bool answered = false;
  };

  void accept(std::intptr_t descriptor) {
    connections_.push_back(std::make_unique<connection>());
    connection& one = *connections_.back();
    one.stream = bufferevent_socket_new(loop_.base(), static_cast<evutil_socket_t>(descriptor),
                                        BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(one.stream, &forgetful_store::on_read, nullptr, nullptr, &one);
    bufferevent_enable(one.stream, EV_READ | EV_WRITE);
  }

  static void on_read(bufferevent* stream, void* context) {
    auto& one = *static_cast<connection*>(context);
    evbuffer* input = bufferevent_get_input(stream);
    std::string received(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, received.data(), received.size());
    const bool is_watch = received.find("watch=") != std::string::npos;
    if (!is_watch && !std::exchange(one.answered, true)) {
      const std::string answer = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
      bufferevent_write(stream, answer.data(), answer.size());
    }
  }

  event_loop& loop_;
  std::vector<std::unique_ptr<connection>> connections_;
  tcp_listener listener_;
};

store_outcome read_once(event_loop& loop, object_store& store) {
  store_outcome outcome = store_outcome::done;
  store.read_configuration([&](const configuration_read_result& reading) {
    outcome = reading.outcome;
    loop.stop();
  });
  loop.run();
  return outcome;
}

}  // namespace

TEST_CASE("after a connection of the store has gone silent, idle ones are not used again",
          "[platform_adapter][F7]") {
  event_loop loop;
  const forgetful_store server(loop);
  object_store store(loop, {"127.0.0.1", store_port});
  REQUIRE(read_once(loop, store) == store_outcome::not_found);

  SECTION("when a watch has not been answered") {
    store.watch_configuration(1, std::chrono::milliseconds(10),
                              [&](const configuration_read_result& reading) {
                                CHECK(reading.outcome == store_outcome::unknown);
                                loop.stop();
                              });
    loop.run();
    CHECK(read_once(loop, store) == store_outcome::not_found);
  }
  SECTION("when a call has not been answered") {
    CHECK(read_once(loop, store) == store_outcome::unknown);
    CHECK(read_once(loop, store) == store_outcome::not_found);
  }
}

}  // namespace crocusdoor::platform

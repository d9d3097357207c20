#include "daemon/target_client.h"

#include <catch2/catch.hpp>
#include <optional>

#include "invalid_status_lines.h"
#include "scripted_server.h"

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;

/// Id of the exchange that a request states; empty if it states none.
std::string exchange_id_of(const std::string& request) {
  const std::string name = "X-Exchange-Id: ";
  const std::size_t found = request.find(name);
  const std::size_t begin = found + name.size();
  return found == std::string::npos ? std::string()
                                    : request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string response_text(const std::string& body, const std::string& id) {
  return "HTTP/1.1 200 OK\r\n" + (id.empty() ? std::string() : "X-Exchange-Id: " + id + "\r\n") +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A target that writes the response to its first request once more when the second one arrives,
/// and the response to the second one after that.
class repeating_target {
 public:
  repeating_target(event_loop& loop, bool repeats_ids)
      : server_(loop, 0, [this, &loop, repeats_ids](auto& connection, const std::string& request) {
          const std::string id = repeats_ids ? exchange_id_of(request) : std::string();
          if (++requests_ == 1) {
            first_ = response_text("first", id);
            connection.write(first_);
            return;
          }
          server_.at(0).write(first_);
          response_timer_ = loop.after(milliseconds(30), [&connection, id] {
            connection.write(response_text("second", id));
          });
        }) {}

  [[nodiscard]] std::uint16_t port() const { return server_.port(); }
  [[nodiscard]] std::size_t connections() const { return server_.accepted(); }

 private:
  int requests_ = 0;
  std::string first_;
  timer_handle response_timer_;
  scripted_server server_;
};

}  // namespace

TEST_CASE("a response that a target writes twice reaches one caller only", "[P4]") {
  // Failure guarded against: a second copy of a response, which arrived when the connection was in
  // use again, was delivered to the next caller.
  event_loop loop;
  random_source random(1);
  metrics counters;
  trace_recorder traces("instance", 10);
  const bool repeats_ids = GENERATE(true, false);
  repeating_target target(loop, repeats_ids);
  settings options;
  options.target.address = "127.0.0.1";
  options.target.port = target.port();
  const daemon_context shared{loop, random, options, counters, traces, nullptr, 1};
  target_client client(shared);
  const auto response_body = [&](const std::string& path) {
    wire::call request;
    request.method = "GET";
    request.path = path;
    std::optional<std::string> body;
    client.send(request, loop.now() + milliseconds(2'000),
                [&](const wire::call_answer& response, bool) { body = response.body.bytes; });
    while (!body.has_value()) {
      loop.run_once();
    }
    return *body;
  };

  INFO("the target repeats ids: " << repeats_ids);
  CHECK(response_body("/first") == "first");
  CHECK(response_body("/second") == "second");
  // Connections are kept only if a copy can be told from the response to the next request.
  CHECK(target.connections() == (repeats_ids ? 1U : 2U));
}

TEST_CASE("a response with an invalid status line is a failure of the target", "[P4]") {
  // Guards against a status below 100 that counts as an interim response, so that the request waits
  // until its deadline.
  const std::string line =
      GENERATE(from_range(invalid_status_lines.begin(), invalid_status_lines.end()));
  INFO(line);
  event_loop loop;
  random_source random(1);
  metrics counters;
  trace_recorder traces("instance", 10);
  scripted_server server(loop, 0, [&](auto& connection, const std::string& request) {
    connection.write(with_status_line(line, "X-Exchange-Id: " + exchange_id_of(request) + "\r\n"));
  });
  settings options;
  options.target.address = "127.0.0.1";
  options.target.port = server.port();
  const daemon_context shared{loop, random, options, counters, traces, nullptr, 1};
  target_client client(shared);
  wire::call_answer received;
  client.send({.method = "GET", .path = "/"}, loop.now() + milliseconds(500),
              [&](const wire::call_answer& response, bool) {
                received = response;
                loop.stop();
              });
  loop.run();
  CHECK(received.outcome == verdict::may_have_run);
  CHECK(received.reason == "target_connection_lost");
}

}  // namespace crocusdoor

#pragma once

#include <string>

#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace crocusdoor {

/// Client on the event loop of the server under test. It runs the loop to wait for a response.
class loop_client {
 public:
  loop_client(event_loop& loop, std::uint16_t port)
      : loop_(loop), client_(loop, {"127.0.0.1", port}, {.connection_limit = 8}) {}

  http_result send(const std::string& method, const std::string& target,
                   const http_headers& headers = {}, const std::string& body = "") {
    http_result received;
    start(method, target, headers, body, [&](const http_result& result) {
      received = result;
      loop_.stop();
    });
    loop_.run();
    return received;
  }

  http_call start(const std::string& method, const std::string& target, const http_headers& headers,
                  const std::string& body, http_client::callback on_result) {
    // The timeout is longer than any wait in the tests, so that it only ends a test that hangs.
    return client_.send({method, target, headers, body}, std::chrono::seconds(30),
                        std::move(on_result));
  }

  void cancel(const http_call& call) { client_.cancel(call); }

  /// Runs the loop until `condition` holds, for at most 10 s; returns whether it holds.
  template <typename Condition>
  bool run_until(Condition condition) {
    const timer_handle check = loop_.every(std::chrono::milliseconds(1), [&] {
      if (condition()) {
        loop_.stop();
      }
    });
    const timer_handle limit = loop_.after(std::chrono::seconds(10), [&] { loop_.stop(); });
    loop_.run();
    return condition();
  }

 private:
  event_loop& loop_;
  http_client client_;
};

}  // namespace crocusdoor

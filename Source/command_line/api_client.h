#pragma once

#include <string>

#include "core/record_codec.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/ip_endpoint.h"

namespace crocusdoor::command_line {

/// Response of the intent API to one call.
struct api_response {
  http_outcome outcome = http_outcome::not_sent;
  int status = 0;
  json body;  ///< Discarded if the response is not JSON.

  /// Whether a complete response with a JSON body arrived.
  [[nodiscard]] bool arrived() const {
    return outcome == http_outcome::answered && !body.is_discarded();
  }
  /// Whether a response with a 2xx status arrived.
  [[nodiscard]] bool ok() const { return arrived() && status >= 200 && status < 300; }
};

/// Calls the intent API and waits for each response by running the loop.
class api_client {
 public:
  api_client(event_loop& loop, ip_endpoint api, duration timeout);

  [[nodiscard]] const ip_endpoint& endpoint() const noexcept { return api_; }
  /// `target` is the path and query; values in the query are encoded by `encode_query_value`.
  [[nodiscard]] api_response call(const std::string& method, const std::string& target,
                                  const std::string& body = "");
  /// Runs the loop for the given time.
  void pause(duration span);

 private:
  event_loop& loop_;
  ip_endpoint api_;
  duration timeout_;
  http_client client_;
};

/// Percent-encodes a value for the query part of a URL.
[[nodiscard]] std::string encode_query_value(const std::string& text);

}  // namespace crocusdoor::command_line

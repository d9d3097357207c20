#include "command_line/api_client.h"

#include <event2/http.h>

#include <cstdlib>
#include <memory>
#include <utility>

namespace crocusdoor::command_line {

api_client::api_client(event_loop& loop, ip_endpoint api, duration timeout)
    : loop_(loop), api_(std::move(api)), timeout_(timeout), client_(loop, api_, {}) {}

api_response api_client::call(const std::string& method, const std::string& target,
                              const std::string& body) {
  http_request request{method, target, {{"Accept", "application/json"}}, body};
  if (!body.empty()) {
    request.headers["Content-Type"] = "application/json";
  }
  api_response response;
  client_.send(std::move(request), timeout_, [&](const http_result& result) {
    response.outcome = result.outcome;
    response.status = result.response.status;
    response.body = json::parse(result.response.body, nullptr, false);
    loop_.stop();
  });
  loop_.run();
  return response;
}

void api_client::pause(duration span) {
  const timer_handle timer = loop_.after(span, [this] { loop_.stop(); });
  loop_.run();
}

std::string encode_query_value(const std::string& text) {
  const std::unique_ptr<char, decltype(&std::free)> encoded(
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &std::free);
  return encoded == nullptr ? std::string() : std::string(encoded.get());
}

}  // namespace crocusdoor::command_line

#pragma once

#include <functional>
#include <memory>

#include "core/enum_names.h"
#include "core/time.h"
#include "transport/event_loop.h"
#include "transport/http_types.h"
#include "transport/ip_endpoint.h"

namespace crocusdoor {

/// How a request of the HTTP client ended.
enum class http_outcome {
  answered,     ///< A whole response arrived.
  not_sent,     ///< No byte of the request was written to a connection.
  interrupted,  ///< The connection ended before a whole response arrived.
  timed_out,    ///< No whole response arrived in time.
};

template <>
struct enum_names<http_outcome> {
  static constexpr auto names = make_enum_names<http_outcome>({
      {http_outcome::answered, "answered"},
      {http_outcome::not_sent, "not_sent"},
      {http_outcome::interrupted, "interrupted"},
      {http_outcome::timed_out, "timed_out"},
  });
};

struct http_result {
  http_outcome outcome = http_outcome::not_sent;
  http_response response;  ///< Meaningful if the outcome is `answered`.
};

namespace detail {
struct http_client_state;
struct http_client_call;
}  // namespace detail

/// Cancels a request when asked to; the callback is then not called.
using http_call = std::weak_ptr<detail::http_client_call>;

/// HTTP/1.1 client for one server. Each connection carries one request at a time, and no request is
/// ever sent again by the client itself.
class http_client {
 public:
  using callback = std::function<void(const http_result&)>;

  /// Opens at most `connection_limit` connections; further requests wait in order.
  http_client(event_loop& loop, ip_endpoint remote, std::size_t connection_limit);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends a request; `done` is called exactly once, in a later turn of the loop. A request that is
  /// still waiting for a connection at the time-out ends as `not_sent`.
  http_call send(http_request request, duration timeout, callback done);

  /// Ends a request early by closing its connection; its callback is not called.
  void cancel(const http_call& call);

 private:
  std::shared_ptr<detail::http_client_state> state_;
};

}  // namespace crocusdoor

#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "core/enum_names.h"
#include "core/time.h"
#include "transport/event_loop.h"
#include "transport/http_framing.h"
#include "transport/http_types.h"
#include "transport/ip_endpoint.h"

namespace crocusdoor {

/// How a request of the HTTP client ended.
enum class http_outcome {
  answered,     ///< A whole response arrived.
  not_sent,     ///< No byte of the request was written to a connection.
  interrupted,  ///< The connection ended before a whole response arrived.
  garbled,      ///< Bytes arrived that are no response to this request.
  timed_out,    ///< No whole response arrived in time.
};

template <>
struct enum_names<http_outcome> {
  static constexpr auto names = make_enum_names<http_outcome>({
      {http_outcome::answered, "answered"},
      {http_outcome::not_sent, "not_sent"},
      {http_outcome::interrupted, "interrupted"},
      {http_outcome::garbled, "garbled"},
      {http_outcome::timed_out, "timed_out"},
  });
};

struct http_result {
  http_outcome outcome = http_outcome::not_sent;
  http_response response;           ///< Meaningful if the outcome is `answered`.
  bool new_connection = false;      ///< Whether the connection carried no request before.
  bool connection_refused = false;  ///< Whether no connection could be established.
};

/// Whose answer a response is. A connection may still carry a late or second response to an earlier
/// request, which must not be taken for this one's.
enum class response_match {
  matched,        ///< It answers the request.
  matched_close,  ///< It does, but a copy of it could not be told from the next answer: the
                  ///< connection is not used again.
  other_request,  ///< It answers another request and is passed over.
  unknown,        ///< It may be either, so it proves nothing; the request ends as `garbled`.
};

/// Says whose answer a response is that arrives for a request; the connection is new if it has
/// carried no other request.
using response_filter = std::function<response_match(const http_response&, bool new_connection)>;

/// Properties of all connections of a client.
struct http_client_options {
  std::size_t connection_limit = 1;  ///< Further requests wait in order.
  http_size_limits size;             ///< Of responses.
  /// A connection that has been idle for longer is not used again, unless the server has stated a
  /// time of its own.
  duration idle_limit = std::chrono::seconds(60);
  duration connect_timeout = std::chrono::seconds(3);
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

  http_client(event_loop& loop, ip_endpoint remote, http_client_options options);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends a request; `done` is called exactly once, in a later turn of the loop. A request that is
  /// still waiting for a connection at the time-out ends as `not_sent`. Without `answers`, each
  /// response is taken for the request's.
  http_call send(http_request request, duration timeout, callback done,
                 response_filter answers = nullptr);

  /// Ends a request early by closing its connection; its callback is not called.
  void cancel(const http_call& call);

  /// Closes the connections that carry no request, so that the next request opens a new one.
  void close_idle();

  /// Connections opened since the start.
  [[nodiscard]] std::uint64_t connections_opened() const noexcept;

 private:
  std::shared_ptr<detail::http_client_state> state_;
};

}  // namespace crocusdoor

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/enum_names.h"
#include "core/time.h"
#include "transport/event_loop.h"
#include "transport/http_framing.h"
#include "transport/http_types.h"
#include "transport/ip_endpoint.h"

namespace crocusdoor {

/// How a request of the HTTP client ended.
enum class http_outcome {
  answered,     ///< A complete response arrived.
  not_sent,     ///< No byte of the request was written to a connection.
  interrupted,  ///< The connection ended before a complete response arrived.
  garbled,      ///< Bytes arrived that are not a response to this request.
  timed_out,    ///< No complete response arrived before the timeout.
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
  http_response response;           ///< Valid if the outcome is `answered`.
  bool new_connection = false;      ///< Whether this was the first request of its connection.
  bool connection_refused = false;  ///< Whether no connection could be established.
};

/// Which request a response belongs to. A late or duplicate response to an earlier request of the
/// same connection may still arrive and must not be taken for the response to the current request.
enum class response_match {
  matched,        ///< It belongs to the current request.
  matched_close,  ///< It does, but a copy of it could not be distinguished from the response to the
                  ///< next request: the connection is not used again.
  other_request,  ///< It belongs to another request and is skipped.
  unknown,        ///< It may be either, so it proves nothing; the request ends as `garbled`.
};

/// Decides which request a response belongs to that arrives while a request is in progress.
/// `new_connection` says whether the connection has carried no other request.
using response_filter = std::function<response_match(const http_response&, bool new_connection)>;

/// Decides by the id of the request that a response repeats. Without an id, only the first response
/// on a connection certainly belongs to the current request; with several ids no response does.
[[nodiscard]] response_match match_by_id(const std::string& repeated_id, const std::string& id,
                                         bool new_connection);

/// Properties of all connections of a client.
struct http_client_options {
  std::size_t connection_limit = 1;  ///< Further requests are queued in order.
  http_size_limits size;             ///< Of responses.
  /// Connections that have been idle for about this long are not used again; a time stated by the
  /// server replaces it.
  duration idle_limit = std::chrono::seconds(60);
  duration connect_timeout = std::chrono::seconds(3);
};

/// Body of a request that is written in parts.
struct request_body_stream {
  std::optional<std::uint64_t>
      bytes;  ///< Size of the body; without it the parts are sent as chunks.
  std::function<void()> part_wanted;  ///< Called whenever the next part can be written.
};

namespace detail {
struct http_client_state;
struct http_client_call;
}  // namespace detail

/// Handle of a request, for `http_client::cancel`.
using http_call = std::weak_ptr<detail::http_client_call>;

/// HTTP/1.1 client for one server. Each connection carries one request at a time. The client never
/// retries a request itself.
class http_client {
 public:
  using callback = std::function<void(const http_result&)>;

  http_client(event_loop& loop, ip_endpoint remote, http_client_options options);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends a request; `done` is called exactly once, in a later iteration of the loop, unless the
  /// request is cancelled. A request that is still queued at the timeout ends as `not_sent`.
  /// Without `filter`, each response is taken for the response to the current request. With `body`
  /// the body of the request is passed to `write_body`; the server may respond before its end.
  http_call send(http_request request, duration timeout, callback done,
                 response_filter filter = nullptr,
                 std::optional<request_body_stream> body = std::nullopt);

  /// Writes a part of the body of a request, when one is wanted. Has no effect once the request has
  /// ended.
  void write_body(const http_call& call, const std::string& bytes, bool last);

  /// Cancels a request by closing its connection; its callback is not called.
  void cancel(const http_call& call);

  /// Closes the connections without a request in progress, so that the next request opens a new
  /// one.
  void close_idle();

  /// When the oldest of the connections that are open was established. An idle connection with
  /// unread bytes does not count, because its end may follow them.
  [[nodiscard]] std::optional<time_point> oldest_connection() const;

  /// Number of connections opened by this client.
  [[nodiscard]] std::uint64_t connections_opened() const noexcept;

 private:
  std::shared_ptr<detail::http_client_state> state_;
};

}  // namespace crocusdoor

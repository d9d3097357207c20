#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

#include "core/enum_names.h"
#include "transport/buffer_manager.h"
#include "transport/connection_limit.h"
#include "transport/event_loop.h"
#include "transport/http_framing.h"
#include "transport/http_types.h"
#include "transport/ip_endpoint.h"

namespace crocusdoor {

namespace detail {
class http_server_connection;
struct http_server_state;
}  // namespace detail

/// Why a connection ended before its client had acknowledged the last response.
enum class delivery_failure {
  closed_by_client,   ///< The client closed the connection or its sending side.
  connection_failed,  ///< The connection was reset or timed out.
  closed_by_server,   ///< This process closed it.
  client_silent,      ///< The client acknowledged nothing any more.
  client_stalled,     ///< The client read nothing for the idle limit.
  output_limit,       ///< The clients together left too much unread.
};

template <>
struct enum_names<delivery_failure> {
  static constexpr auto names = make_enum_names<delivery_failure>({
      {delivery_failure::closed_by_client, "closed_by_client"},
      {delivery_failure::connection_failed, "connection_failed"},
      {delivery_failure::closed_by_server, "closed_by_server"},
      {delivery_failure::client_silent, "client_silent"},
      {delivery_failure::client_stalled, "client_stalled"},
      {delivery_failure::output_limit, "output_limit"},
  });
};

/// A response of which the client has not acknowledged all bytes when its connection ended.
struct undelivered_response {
  delivery_failure cause = delivery_failure::closed_by_server;
  std::size_t bytes = 0;  ///< Bytes that the client has not acknowledged.
  friend bool operator==(const undelivered_response&, const undelivered_response&) = default;
};

/// Responses that have been passed to a server and that their clients have not acknowledged.
struct unsent_responses {
  std::size_t connections = 0;
  std::size_t bytes = 0;
  friend bool operator==(const unsent_responses&, const unsent_responses&) = default;
};

/// One request that a server received and its response, which may be sent in a later iteration of
/// the loop. An exchange that is destroyed without a response sends status 500.
class http_exchange {
 public:
  /// `memory` is the account that counts the request until the exchange is destroyed, if any.
  http_exchange(std::shared_ptr<detail::http_server_connection> connection,
                http_request received_request, std::shared_ptr<buffer_account> memory = nullptr);
  /// Memory that a request occupies while it waits or is being forwarded.
  [[nodiscard]] static std::size_t forwarding_bytes(const http_request& request);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  [[nodiscard]] const http_request& request() const noexcept { return request_; }
  /// Whether the body is not part of the request and must be read in parts.
  [[nodiscard]] bool streamed() const noexcept { return streamed_; }
  /// Announced size of a streamed body; empty if it is sent in chunks.
  [[nodiscard]] std::optional<std::uint64_t> body_length() const noexcept { return body_length_; }
  /// Reads the next part of a streamed body, at most this many bytes. `action` is called in a later
  /// iteration of the loop; not at all if the connection ends before. `last` says whether the body
  /// is complete with this part.
  using body_action = std::function<void(std::string bytes, bool last)>;
  void read_body(std::size_t limit, body_action action);
  /// Whether the client has closed its connection; a response is then dropped.
  [[nodiscard]] bool disconnected() const noexcept { return disconnected_; }
  /// Checks the socket and returns whether the client is still connected, because the loop may not
  /// have processed the close yet. If the client has closed, the action of `on_disconnect` runs
  /// now.
  [[nodiscard]] bool check_connection();
  /// Sends the response; only the first call has an effect.
  void respond(const http_response& response);
  /// Closes the connection without a response. Must not be called from within the server's handler;
  /// post it to the loop instead.
  void close();
  /// Calls `action` if the client closes its connection, or its sending side, before the response
  /// is sent.
  void on_disconnect(std::function<void()> action) { disconnect_action_ = std::move(action); }
  /// Calls `action` if the connection ends before the client has acknowledged the whole response.
  /// Must be set before the response is sent.
  void on_undelivered(std::function<void(const undelivered_response&)> action) {
    undelivered_action_ = std::move(action);
  }

 private:
  friend class detail::http_server_connection;
  void client_disconnected();

  std::shared_ptr<detail::http_server_connection> connection_;
  http_request request_;
  buffer_charge charge_;
  bool streamed_ = false;
  std::optional<std::uint64_t> body_length_;
  bool responded_ = false;
  bool disconnected_ = false;
  std::function<void()> disconnect_action_;
  std::function<void(const undelivered_response&)> undelivered_action_;
};

/// Limits on the size of a request and on the time that a client may take.
struct http_server_limits {
  http_size_limits size;
  duration header_timeout = std::chrono::seconds(30);  ///< From the first byte of a request.
  /// Between requests, within a body, and while the client reads nothing of a response. The time
  /// between requests counts from the client's acknowledgement of the last response.
  duration idle_timeout = std::chrono::seconds(120);
  /// Connections that are kept open. For a further one the connection of least use is closed; if
  /// all are needed, the further one is refused with 503.
  std::size_t connections = 2'000;
  /// A larger body is not held: its request is passed on when its headers, or this much of a body
  /// without a length, have arrived.
  std::size_t held_body_bytes = std::numeric_limits<std::size_t>::max();
  /// Requests at the same time whose bodies are not held; further ones are refused with 503.
  std::size_t streamed_requests = 4;
  friend bool operator==(const http_server_limits&, const http_server_limits&) = default;
};

/// HTTP/1.1 server on an event loop. Requests of one connection are passed to the handler one at a
/// time.
class http_server {
 public:
  using handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

  /// Throws std::runtime_error if the endpoint cannot be bound. `buffers`, if any, counts and
  /// limits what the connections buffer, together with those of other servers.
  http_server(event_loop& loop, const ip_endpoint& local, handler on_request,
              http_server_limits limits = {}, std::shared_ptr<buffer_manager> buffers = nullptr);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Sets the limits. Timeouts apply at once. Size limits apply to new connections, and to existing
  /// ones after their next response.
  void set_limits(const http_server_limits& limits);
  /// Makes every further response close its connection.
  void announce_close();
  /// Accepts the connections that are established now and stops listening.
  void stop_accepting();
  /// Closes the connections without a request, except new ones that may still send their first. A
  /// connection has a request while one is being read or answered or has unread bytes, and until
  /// the client has acknowledged the whole response.
  void close_idle();

  /// Number of connections that are new or have a request.
  [[nodiscard]] std::size_t active() const;
  /// Responses that are not wholly acknowledged by their clients.
  [[nodiscard]] unsent_responses unsent() const;
  [[nodiscard]] const connection_counts& connections() const noexcept;
  [[nodiscard]] std::uint16_t port() const noexcept;

 private:
  std::shared_ptr<detail::http_server_state> state_;
};

}  // namespace crocusdoor

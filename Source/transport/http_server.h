#pragma once

#include <functional>
#include <memory>

#include "transport/event_loop.h"
#include "transport/http_framing.h"
#include "transport/http_types.h"
#include "transport/ip_endpoint.h"

namespace crocusdoor {

namespace detail {
class http_server_connection;
struct http_server_state;
}  // namespace detail

/// One request that a server received and its answer, which may be sent in a later turn of the
/// loop. An exchange that is destroyed without an answer sends status 500.
class http_exchange {
 public:
  http_exchange(std::shared_ptr<detail::http_server_connection> connection, http_request received);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  [[nodiscard]] const http_request& request() const noexcept { return request_; }
  /// Whether the client has closed its connection; an answer is then dropped.
  [[nodiscard]] bool disconnected() const noexcept { return disconnected_; }
  /// Looks at the connection whether the client still waits, because the loop may not have come to
  /// its close yet. If it has left, the action of `on_disconnect` is called now.
  [[nodiscard]] bool check_connection();
  /// Sends the answer; only the first call has an effect.
  void respond(const http_response& answer);
  /// Closes the connection without an answer. Not to be called from within the server's handler;
  /// post it to the loop.
  void close();
  /// Calls `action` if the client closes its connection, or its sending side, before the answer is
  /// sent.
  void on_disconnect(std::function<void()> action) { disconnect_action_ = std::move(action); }

 private:
  friend class detail::http_server_connection;
  void client_gone();

  std::shared_ptr<detail::http_server_connection> connection_;
  http_request request_;
  bool answered_ = false;
  bool disconnected_ = false;
  std::function<void()> disconnect_action_;
};

/// What a client may send and how long it may take.
struct http_server_limits {
  http_size_limits size;
  duration header_timeout = std::chrono::seconds(30);  ///< From a request's first byte.
  duration idle_timeout = std::chrono::seconds(120);   ///< Between requests, and within a body.
  friend bool operator==(const http_server_limits&, const http_server_limits&) = default;
};

/// HTTP/1.1 server on the loop. Requests of one connection are handed over one at a time.
class http_server {
 public:
  using handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

  /// Throws std::runtime_error if the endpoint cannot be bound.
  http_server(event_loop& loop, const ip_endpoint& local, handler on_request,
              http_server_limits limits = {});
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Limits of requests whose first byte has not been read yet.
  void set_limits(const http_server_limits& limits);
  /// Lets every further answer end its connection.
  void announce_close();
  /// Accepts no connections beyond those that are established now.
  void stop_accepting();
  /// Closes the connections on which no request is being read or answered, has arrived unread, or
  /// is due because the connection is new.
  void close_idle();

  /// Requests that are being read or answered, or whose connections are new.
  [[nodiscard]] std::size_t active() const;
  [[nodiscard]] std::uint16_t port() const noexcept;

 private:
  std::shared_ptr<detail::http_server_state> state_;
};

}  // namespace crocusdoor

#pragma once

#include <functional>
#include <memory>

#include "transport/event_loop.h"
#include "transport/http_types.h"
#include "transport/ip_endpoint.h"

struct evhttp_connection;
struct evhttp_request;
struct event;

namespace crocusdoor {

/// One request that a server received and its answer, which may be sent in a later turn of the
/// loop. An exchange that is destroyed without an answer sends status 500.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
 public:
  http_exchange(evhttp_request* raw, http_request received);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  [[nodiscard]] const http_request& request() const noexcept { return request_; }
  /// Whether the client has closed its connection; an answer is then dropped.
  [[nodiscard]] bool disconnected() const noexcept { return raw_ == nullptr && !answered_; }
  /// Sends the answer; only the first call has an effect.
  void respond(const http_response& answer);
  /// Closes the connection without an answer. Not to be called from within the server's handler;
  /// post it to the loop.
  void close();
  /// Calls `action` if the client closes its connection, or its sending side, before the answer is
  /// sent.
  void on_disconnect(std::function<void()> action) { disconnect_action_ = std::move(action); }

 private:
  friend class http_server;
  static void connection_closed(evhttp_connection* connection, void* context);
  static void peer_closed(int descriptor, short kind, void* context);
  void watch_for_close();
  evhttp_connection* detach();

  evhttp_request* raw_;
  event* close_watch_ = nullptr;
  http_request request_;
  bool answered_ = false;
  std::function<void()> disconnect_action_;
};

/// HTTP/1.1 server on the loop.
class http_server {
 public:
  using handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

  /// A request with a larger body is answered with status 413 before it reaches the handler. Throws
  /// std::runtime_error if the endpoint cannot be bound.
  http_server(event_loop& loop, const ip_endpoint& local, handler on_request,
              std::size_t body_limit_bytes = http_body_limit_bytes);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace crocusdoor

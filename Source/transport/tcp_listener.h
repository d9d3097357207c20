#pragma once

#include <functional>
#include <memory>

#include "transport/event_loop.h"
#include "transport/ip_endpoint.h"

namespace crocusdoor {

/// Accepts TCP connections. If the process has no descriptor left, it pauses for a moment, because
/// the socket stays readable until the connection is accepted.
class tcp_listener {
 public:
  /// Throws std::runtime_error if the endpoint cannot be bound. The accepted connections have a
  /// receive buffer of this size from their handshake on; 0 leaves the size to the system.
  tcp_listener(event_loop& loop, const ip_endpoint& local,
               std::function<void(std::intptr_t descriptor)> accepted, int receive_buffer = 0);
  ~tcp_listener();
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;

  /// Accepts the established connections that the loop has not accepted yet.
  void accept_pending();

  /// Port that the listener is bound to.
  [[nodiscard]] std::uint16_t port() const noexcept;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace crocusdoor

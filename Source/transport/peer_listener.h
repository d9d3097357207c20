#pragma once

#include <functional>
#include <memory>

#include "transport/event_loop.h"
#include "transport/ip_endpoint.h"

namespace crocusdoor {

/// Accepts TCP connections of other daemons.
class peer_listener {
 public:
  /// Throws std::runtime_error if the endpoint cannot be bound.
  peer_listener(event_loop& loop, const ip_endpoint& local,
                std::function<void(std::intptr_t descriptor)> accepted);
  ~peer_listener();
  peer_listener(const peer_listener&) = delete;
  peer_listener& operator=(const peer_listener&) = delete;

  /// Port that the listener is bound to.
  [[nodiscard]] std::uint16_t port() const noexcept;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace crocusdoor

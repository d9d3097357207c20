#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>

namespace crocusdoor::detail {

/// Unacknowledged data older than this ends a TCP connection. Longer than the heartbeat time-out,
/// so that heartbeats decide first; without it a connection without heartbeats lingers for minutes.
inline constexpr std::chrono::milliseconds unacknowledged_data_timeout{5'000};

/// Sets the options that every TCP connection of the daemon has: no delay for small writes, and an
/// early failure when the other end has gone.
inline void set_connection_options(int descriptor) {
  const int enabled = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  const auto timeout = static_cast<unsigned int>(unacknowledged_data_timeout.count());
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

}  // namespace crocusdoor::detail

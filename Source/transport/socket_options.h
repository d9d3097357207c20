#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>

namespace crocusdoor::detail {

/// A TCP connection with unacknowledged data older than this fails. It is longer than the heartbeat
/// timeout, so that heartbeats detect a failure first; without it a connection without heartbeats
/// would stay open for minutes.
inline constexpr std::chrono::milliseconds unacknowledged_data_timeout{5'000};

/// Sets the options of every TCP connection of the daemon: no delay for small writes, and an early
/// failure when the peer no longer acknowledges data.
inline void set_connection_options(int descriptor) {
  const int enabled = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  const auto timeout = static_cast<unsigned int>(unacknowledged_data_timeout.count());
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

}  // namespace crocusdoor::detail

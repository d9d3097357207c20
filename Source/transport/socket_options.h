#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace crocusdoor::detail {

/// Sets the options of every TCP connection of the daemon: no delay for small writes. A peer that
/// acknowledges nothing is detected by heartbeats on links and by `acknowledgement_watch`.
inline void set_connection_options(int descriptor) {
  const int enabled = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

/// Sets the size of the receive buffer, and with it the window that the client is told. A window
/// that was opened is not taken back.
inline void set_receive_buffer(int descriptor, int bytes) {
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  // Without it the window of an accepted connection stays below the size at its handshake.
  setsockopt(descriptor, IPPROTO_TCP, TCP_WINDOW_CLAMP, &bytes, sizeof(bytes));
}

}  // namespace crocusdoor::detail

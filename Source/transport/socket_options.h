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

}  // namespace crocusdoor::detail

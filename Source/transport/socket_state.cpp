#include "transport/socket_state.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace crocusdoor::detail {

bool peer_has_closed(int descriptor) {
  char first = 0;
  const ssize_t received = ::recv(descriptor, &first, sizeof(first), MSG_PEEK | MSG_DONTWAIT);
  if (received == 0) {
    return true;
  }
  if (received < 0) {
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  }
  pollfd wanted{descriptor, POLLRDHUP, 0};
  return ::poll(&wanted, 1, 0) > 0;
}

}  // namespace crocusdoor::detail

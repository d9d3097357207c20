#include "transport/socket_state.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

namespace crocusdoor::detail {

bool peer_has_closed(int descriptor) {
  char byte = 0;
  const ssize_t received = ::recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (received == 0) {
    return true;
  }
  if (received < 0) {
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  }
  pollfd poll_request{descriptor, POLLRDHUP, 0};
  return ::poll(&poll_request, 1, 0) > 0;
}

bool connection_has_failed(int descriptor) {
  pollfd poll_request{descriptor, 0, 0};
  return ::poll(&poll_request, 1, 0) > 0 && (poll_request.revents & POLLERR) != 0;
}

std::size_t unacknowledged_bytes(int descriptor) {
  int bytes = 0;
  return ::ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes)
                                                                 : 0;
}

}  // namespace crocusdoor::detail

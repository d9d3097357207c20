#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <string_view>

namespace crocusdoor::detail {

/// Writes bytes to a stream. Bytes that the socket accepts are sent directly, which saves an
/// iteration of the loop and two changes of its polled events; the rest goes through the stream's
/// buffer.
inline void write_output(bufferevent* stream, std::string_view bytes) {
  if (evbuffer_get_length(bufferevent_get_output(stream)) == 0) {
    const ssize_t sent =
        ::send(bufferevent_getfd(stream), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    // A failure occurs again when libevent writes the buffer, and is reported there.
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }
  if (!bytes.empty()) {
    bufferevent_write(stream, bytes.data(), bytes.size());
  }
}

}  // namespace crocusdoor::detail

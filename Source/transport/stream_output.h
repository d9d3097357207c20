#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <string_view>

namespace crocusdoor::detail {

/// Writes bytes to a stream: at once if the socket takes them, which saves a turn of the loop and
/// two changes of what it polls for; the rest through the buffer of the stream.
inline void write_output(bufferevent* stream, std::string_view bytes) {
  if (evbuffer_get_length(bufferevent_get_output(stream)) == 0) {
    const ssize_t sent =
        ::send(bufferevent_getfd(stream), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    // A failure shows again when the buffer is written, and is reported there.
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }
  if (!bytes.empty()) {
    bufferevent_write(stream, bytes.data(), bytes.size());
  }
}

}  // namespace crocusdoor::detail

#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <string>

namespace crocusdoor::detail {

/// Moves all bytes that a stream has received to the end of a string.
inline void append_input(bufferevent* stream, std::string& text) {
  evbuffer* buffer = bufferevent_get_input(stream);
  const std::size_t old_size = text.size();
  text.resize(old_size + evbuffer_get_length(buffer));
  evbuffer_remove(buffer, text.data() + old_size, text.size() - old_size);
}

}  // namespace crocusdoor::detail

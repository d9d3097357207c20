#include "wire/dictionary_streams.h"

#include <new>
#include <utility>

namespace crocusdoor::wire::detail {

namespace {

/// Raw deflate, without the header and checksum of zlib, and with a window of 8 KB: the dictionary
/// and the usual message fit into it, and resetting the stream stays cheap.
constexpr int window_bits = -13;
constexpr int memory_level = 5;

Bytef* as_bytes(std::string_view text) {
  // zlib does not write to its input, but its interface lacks the const qualifier.
  return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));  // NOLINT
}

void set_buffers(z_stream& stream, std::string_view input, std::string& output) {
  stream.next_in = as_bytes(input);
  stream.avail_in = static_cast<uInt>(input.size());
  stream.next_out = reinterpret_cast<Bytef*>(output.data());
  stream.avail_out = static_cast<uInt>(output.size());
}

}  // namespace

dictionary_streams::dictionary_streams(std::string dictionary)
    : dictionary_(std::move(dictionary)) {
  if (deflateInit2(&deflate_, Z_BEST_SPEED, Z_DEFLATED, window_bits, memory_level,
                   Z_DEFAULT_STRATEGY) != Z_OK) {
    throw std::bad_alloc();
  }
  if (inflateInit2(&inflate_, window_bits) != Z_OK) {
    deflateEnd(&deflate_);
    throw std::bad_alloc();
  }
}

dictionary_streams::~dictionary_streams() {
  deflateEnd(&deflate_);
  inflateEnd(&inflate_);
}

std::optional<std::string> dictionary_streams::deflated(std::string_view text) {
  std::string output(text.size(), '\0');
  deflateReset(&deflate_);
  deflateSetDictionary(&deflate_, as_bytes(dictionary_), static_cast<uInt>(dictionary_.size()));
  set_buffers(deflate_, text, output);
  if (deflate(&deflate_, Z_FINISH) != Z_STREAM_END) {
    return std::nullopt;
  }
  output.resize(output.size() - deflate_.avail_out);
  return output;
}

std::optional<std::string> dictionary_streams::inflated(std::string_view bytes, std::size_t size) {
  std::string output(size, '\0');
  inflateReset(&inflate_);
  inflateSetDictionary(&inflate_, as_bytes(dictionary_), static_cast<uInt>(dictionary_.size()));
  set_buffers(inflate_, bytes, output);
  const bool complete = inflate(&inflate_, Z_FINISH) == Z_STREAM_END && inflate_.avail_out == 0 &&
                        inflate_.avail_in == 0;
  return complete ? std::optional(std::move(output)) : std::nullopt;
}

}  // namespace crocusdoor::wire::detail

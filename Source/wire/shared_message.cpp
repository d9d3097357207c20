#include "wire/shared_message.h"

#include <zlib.h>

#include "wire/message_body.h"

namespace crocusdoor::wire {

namespace {

constexpr std::size_t minimum_deflated_bytes = 4'096;

std::string deflate_body(const std::string& body) {
  uLongf size = compressBound(body.size());
  std::string deflated(size, '\0');
  const int result =
      compress2(reinterpret_cast<Bytef*>(deflated.data()), &size,
                reinterpret_cast<const Bytef*>(body.data()), body.size(), Z_BEST_SPEED);
  // Compression fails only when memory is exhausted. The body is then sent uncompressed.
  deflated.resize(result == Z_OK ? size : 0);
  return deflated;
}

}  // namespace

const std::string& shared_message::body() const {
  if (!body_.has_value()) {
    body_ = encode_body(content_);
  }
  return *body_;
}

const std::string& shared_message::deflated_body() const {
  if (!deflated_body_.has_value()) {
    deflated_body_ = body().size() < minimum_deflated_bytes ? std::string() : deflate_body(body());
  }
  return *deflated_body_;
}

leaf::result<std::string> inflate_body(const std::string& deflated, std::size_t size) {
  if (size > message_size_limit_bytes) {
    return leaf::new_error(
        failure{error_code::over_limit,
                "announced size of the inflated message body exceeds the message size limit"});
  }
  std::string body(size, '\0');
  uLongf inflated_size = size;
  const int result = uncompress(reinterpret_cast<Bytef*>(body.data()), &inflated_size,
                                reinterpret_cast<const Bytef*>(deflated.data()), deflated.size());
  if (result != Z_OK || inflated_size != size) {
    return leaf::new_error(
        failure{error_code::malformed,
                "deflated message body is invalid or does not inflate to its announced size"});
  }
  return body;
}

}  // namespace crocusdoor::wire

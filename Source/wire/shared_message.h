#pragma once

#include <optional>
#include <string>

#include "core/error.h"
#include "wire/message.h"

namespace crocusdoor::wire {

/// A message whose body is encoded and deflated at most once, regardless of the number of links
/// over which it is sent. A configuration that a daemon sends to all others takes milliseconds to
/// encode. If it is not deflated, its transmission occupies the links with the lowest bandwidth for
/// a third of a second.
class shared_message {
 public:
  explicit shared_message(message content) : content_(std::move(content)) {}

  [[nodiscard]] const message& content() const noexcept { return content_; }
  /// The body as CBOR.
  [[nodiscard]] const std::string& body() const;
  /// The deflated body; empty if the body is too small to benefit.
  [[nodiscard]] const std::string& deflated_body() const;

 private:
  message content_;
  mutable std::optional<std::string> body_;
  mutable std::optional<std::string> deflated_body_;
};

/// Inflates `deflated` to `size` bytes. Fails with `error_code::malformed` if the bytes are not
/// valid deflated data or inflate to another size, and with `error_code::over_limit` if `size`
/// exceeds `message_size_limit_bytes`.
[[nodiscard]] leaf::result<std::string> inflate_body(const std::string& deflated, std::size_t size);

}  // namespace crocusdoor::wire

#pragma once

#include <optional>
#include <string>

#include "core/error.h"
#include "wire/message.h"

namespace crocusdoor::wire {

/// A message whose body is encoded and deflated at most once, however many links carry it. A
/// configuration that a daemon sends to all others takes milliseconds to encode, and fills the
/// smallest links for a third of a second if it is not deflated.
class shared_message {
 public:
  explicit shared_message(message content) : content_(std::move(content)) {}

  [[nodiscard]] const message& content() const noexcept { return content_; }
  /// The body as CBOR.
  [[nodiscard]] const std::string& body() const;
  /// The body deflated; empty if it is too small to gain by that.
  [[nodiscard]] const std::string& deflated_body() const;

 private:
  message content_;
  mutable std::optional<std::string> body_;
  mutable std::optional<std::string> deflated_body_;
};

/// Inflates bytes that are `size` bytes long then. Fails with `error_code::malformed` for bytes
/// that are not deflated or of another size, and with `error_code::over_limit` above
/// `message_size_limit_bytes`.
[[nodiscard]] leaf::result<std::string> inflate_body(const std::string& deflated, std::size_t size);

}  // namespace crocusdoor::wire

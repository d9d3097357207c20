#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "wire/message.h"

namespace crocusdoor::wire {

/// Name of the kind of a message as it appears on the wire.
[[nodiscard]] std::string_view kind_of(const message& content);

/// Encodes a message as one CBOR map.
[[nodiscard]] std::string encode(const envelope& value);

/// Decodes one message. Fails with `error_code::over_limit` for a message above
/// `message_size_limit_bytes`, `error_code::malformed` for bytes that are not a CBOR map of the
/// expected form, and `error_code::invalid` for another protocol version or an unknown kind.
[[nodiscard]] leaf::result<envelope> decode(std::string_view bytes);

}  // namespace crocusdoor::wire

#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "wire/message.h"
#include "wire/shared_message.h"

namespace crocusdoor::wire {

/// Kind of a message by its name on the wire.
[[nodiscard]] std::string_view kind_of(const message& content);

/// Encodes a message as one CBOR map.
[[nodiscard]] std::string encode(const envelope& value);

/// Encodes a message that is sent over several links. The body is deflated if `may_deflate` is set
/// and deflating saves bytes.
[[nodiscard]] std::string encode(version_number configuration_version,
                                 const shared_message& content, bool may_deflate,
                                 std::chrono::microseconds sent_at = {});

/// Decodes one message. Fails with `error_code::over_limit` for a message above
/// `message_size_limit_bytes`, `error_code::malformed` for bytes that are not a CBOR map of the
/// expected structure, and `error_code::invalid` for another protocol version or an unknown kind.
[[nodiscard]] leaf::result<envelope> decode(std::string_view bytes);

}  // namespace crocusdoor::wire

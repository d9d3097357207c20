#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "core/record_codec.h"

namespace crocusdoor::wire {

/// Maximum nesting of maps and arrays in a message; the deepest message has 6 levels. Without a
/// limit, 2 MB of nested arrays overflow the stack, since the CBOR reader of the JSON library
/// recurses for each level.
inline constexpr std::size_t message_depth_limit = 32;

/// Decodes CBOR. Returns `std::nullopt` if the bytes are malformed, are followed by further bytes
/// or exceed `message_depth_limit`.
[[nodiscard]] std::optional<json> read_cbor(std::string_view bytes);

}  // namespace crocusdoor::wire

#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "core/record_codec.h"

namespace crocusdoor::wire {

/// Deepest nesting of maps and arrays in a message; the deepest message has 6 levels. The CBOR
/// reader of the JSON library recurses for each level, so 2 MB of nested arrays overflow the stack.
inline constexpr std::size_t message_depth_limit = 32;

/// The document that a CBOR byte string encodes, or nothing if it is malformed, is followed by
/// further bytes, or nests too deeply.
[[nodiscard]] std::optional<json> read_cbor(std::string_view bytes);

}  // namespace crocusdoor::wire

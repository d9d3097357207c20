#pragma once

#include <string>
#include <string_view>

namespace crocusdoor {

/// Whether a text is valid UTF-8. Invalid UTF-8 cannot be encoded as JSON, and text received in
/// CBOR may be invalid.
[[nodiscard]] bool is_utf8(std::string_view text);

/// The text with each byte that is not part of valid UTF-8 replaced by "?", for error messages.
[[nodiscard]] std::string to_utf8(std::string_view text);

}  // namespace crocusdoor

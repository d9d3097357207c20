#pragma once

#include <string>
#include <string_view>

namespace crocusdoor {

/// Whether a text is valid UTF-8. Other text cannot be encoded as JSON; text that came in CBOR need
/// not be valid.
[[nodiscard]] bool is_utf8(std::string_view text);

/// The text with each byte that is not part of valid UTF-8 replaced by "?", for error messages.
[[nodiscard]] std::string to_utf8(std::string_view text);

}  // namespace crocusdoor

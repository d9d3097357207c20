#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/record_codec.h"

namespace crocusdoor {

/// Largest document written by people (intents, settings) that is parsed, in bytes.
inline constexpr std::size_t document_size_limit_bytes = 1'000'000;

/// Deepest nesting of objects and arrays in a document. Documents of this project need 6 levels.
inline constexpr std::size_t document_depth_limit = 64;

/// Place in a text; both numbers count from 1, the column in Unicode code points.
struct text_position {
  std::size_t line = 1;
  std::size_t column = 1;
  friend bool operator==(const text_position&, const text_position&) = default;
};

/// A parsed text and the place of each of its values.
///
///     BOOST_LEAF_AUTO(document, parse_document(text));
///     record_decoder decoder(unknown_keys::refused);
///     decoder.decode(document.value, settings);
///     if (!decoder.ok()) {
///       return leaf::new_error(
///           failure{error_code::malformed, describe_problems(document, decoder.problems())});
///     }
struct parsed_document {
  json value;
  std::map<std::string, text_position> positions;  ///< Start of each value by JSON pointer.

  /// Start of the value at a JSON pointer. A pointer to a missing value gives the start of the
  /// closest value that encloses it.
  [[nodiscard]] text_position position_of(std::string_view pointer) const;
};

/// Whether `parse_document` keeps the position of each value. Without positions it is faster, for
/// documents that programs write; `position_of` then gives the start of the text.
enum class position_tracking { kept, omitted };

/// Parses JSON with comments ("//" and "/* */"). Fails with `error_code::malformed`, or
/// `over_limit` for a text above the size limit; the message has one line for each fault, with
/// line, column and JSON pointer. Every duplicate key before the first syntax fault is named.
[[nodiscard]] leaf::result<parsed_document> parse_document(
    std::string_view text, position_tracking tracking = position_tracking::kept);

/// One line for each problem: "line 3, column 5, /listen/port: value 0 is outside 1 to 65535".
[[nodiscard]] std::string describe_problems(const parsed_document& document,
                                            const std::vector<decode_problem>& problems);

/// One line for each problem without a text that it stands in: "/listen/port: value 0 is outside".
[[nodiscard]] std::string describe_problems(const std::vector<decode_problem>& problems);

}  // namespace crocusdoor

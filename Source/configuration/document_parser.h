#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/record_codec.h"

namespace crocusdoor {

/// Maximum size in bytes of a document to parse, such as intents or settings.
inline constexpr std::size_t document_size_limit_bytes = 1'000'000;

/// Maximum nesting depth of objects and arrays. The documents of this project need 6 levels.
inline constexpr std::size_t document_depth_limit = 64;

/// Position in a text; line and column count from 1, the column in Unicode code points.
struct text_position {
  std::size_t line = 1;
  std::size_t column = 1;
  friend bool operator==(const text_position&, const text_position&) = default;
};

/// A parsed text and the position of each of its values.
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

  /// Start of the value at a JSON pointer. For a missing value it is the start of the
  /// innermost enclosing value.
  [[nodiscard]] text_position position_of(std::string_view pointer) const;
};

/// Whether `parse_document` records the position of each value. Omitting them is faster and meant
/// for documents written by programs; `position_of` then returns the start of the text.
enum class position_tracking { kept, omitted };

/// Parses JSON with comments ("//" and "/* */"). Fails with `error_code::malformed`, or
/// `over_limit` for a text above the size limit; the message has one line for each fault, with
/// line, column and JSON pointer. Every duplicate key before the first syntax error is reported.
[[nodiscard]] leaf::result<parsed_document> parse_document(
    std::string_view text, position_tracking tracking = position_tracking::kept);

/// One line for each problem: "line 3, column 5, /listen/port: value 0 is outside 1 to 65535".
[[nodiscard]] std::string describe_problems(const parsed_document& document,
                                            const std::vector<decode_problem>& problems);

/// One line for each problem, without a position in a text: "/listen/port: value 0 is outside".
[[nodiscard]] std::string describe_problems(const std::vector<decode_problem>& problems);

}  // namespace crocusdoor

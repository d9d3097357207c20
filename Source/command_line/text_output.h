#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "core/record_codec.h"

namespace crocusdoor::command_line {

/// Wall time as "2026-12-04 09:30:00.123Z".
[[nodiscard]] std::string time_text(std::int64_t milliseconds_since_epoch);

/// Value for people: strings without quotes, a number under a key that ends in "_at_ms" as a time.
[[nodiscard]] std::string value_text(const std::string& key, const json& value);

/// Prints the members of an object, one a line, each after `indent`; members named in `left_out`
/// are passed over.
void print_members(std::ostream& out, const json& object, const std::string& indent,
                   const std::vector<std::string>& left_out = {});

/// Text of an error answer: its message and one line for each problem.
[[nodiscard]] std::string error_text(const json& body, int status);

/// Turns lines of the form "line 3, column 5, /listen/port: value 0 is outside 1 to 65535" into an
/// array of {"line", "column", "path", "message"}; other lines have only "message".
[[nodiscard]] json problems_of(const std::string& lines);

/// Array under the given key of an answer, or the answer itself if it is an array.
[[nodiscard]] json entries_of(const json& body, const std::string& key);

/// String member of an object, or an empty string.
[[nodiscard]] std::string text_of(const json& object, const std::string& key);

/// Unsigned member of an object, or 0.
[[nodiscard]] std::uint64_t number_of(const json& object, const std::string& key);

/// Whether a member of an object is true.
[[nodiscard]] bool flag_of(const json& object, const std::string& key);

}  // namespace crocusdoor::command_line

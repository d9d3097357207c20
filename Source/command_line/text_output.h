#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "core/record_codec.h"

namespace crocusdoor::command_line {

/// Formats a wall-clock time in UTC as "2026-12-04 09:30:00.123Z".
[[nodiscard]] std::string time_text(std::int64_t milliseconds_since_epoch);

/// Formats a value for terminal output: a string without quotes, an integer whose key ends in
/// "_at_ms" as a time, everything else as JSON.
[[nodiscard]] std::string value_text(const std::string& key, const json& value);

/// Prints the members of an object, one per line and indented by `indent`, except those in
/// `excluded_keys`.
void print_members(std::ostream& out, const json& object, const std::string& indent,
                   const std::vector<std::string>& excluded_keys = {});

/// Text of an error response: its message and one line for each problem.
[[nodiscard]] std::string error_text(const json& body, int status);

/// Turns lines of the form "line 3, column 5, /listen/port: value 0 is outside 1 to 65535" into an
/// array of {"line", "column", "path", "message"}; other lines have only "message".
[[nodiscard]] json problems_of(const std::string& lines);

/// Array under the given key of a response body, the body itself if it is an array, or an empty
/// array.
[[nodiscard]] json entries_of(const json& body, const std::string& key);

/// String member of an object, or an empty string if it is absent or not a string.
[[nodiscard]] std::string text_of(const json& object, const std::string& key);

/// Unsigned member of an object, or 0 if it is absent or not an unsigned number.
[[nodiscard]] std::uint64_t number_of(const json& object, const std::string& key);

/// Whether a member of an object is true.
[[nodiscard]] bool flag_of(const json& object, const std::string& key);

}  // namespace crocusdoor::command_line

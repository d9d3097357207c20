#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusdoor {

/// One long option of a program or sub-command.
struct option_description {
  std::string name;        ///< Without the leading hyphens.
  std::string value_name;  ///< Placeholder of the value in the help text; empty for a flag.
  std::string help;
};

/// A parsed command line. It is valid only if `problems` is empty.
struct parsed_options {
  std::map<std::string, std::vector<std::string>> values;  ///< By name; a flag has the value "".
  std::vector<std::string> arguments;                      ///< Arguments that are not options.
  std::vector<std::string> problems;

  [[nodiscard]] bool has(const std::string& name) const { return values.contains(name); }
  /// Last value of the option, or the fallback.
  [[nodiscard]] std::string value(const std::string& name, const std::string& fallback = "") const;
  /// Value of the option as a whole number. Adds to `problems` and returns the fallback if the
  /// value is not a whole number or is out of range.
  [[nodiscard]] std::int64_t number(const std::string& name, std::int64_t fallback,
                                    std::int64_t minimum, std::int64_t maximum);
};

/// Whether options may follow arguments. With `before_arguments`, parsing stops at the first
/// argument, as a program with sub-commands needs it.
enum class option_order { anywhere, before_arguments };

/// Parses a command line without the program name, using getopt_long. Unknown options and missing
/// values are reported in `problems`.
[[nodiscard]] parsed_options parse_options(const std::vector<option_description>& accepted,
                                           const std::vector<std::string>& arguments,
                                           option_order order = option_order::anywhere);

/// Help text with one line for each option.
[[nodiscard]] std::string option_help(const std::vector<option_description>& accepted);

}  // namespace crocusdoor

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace crocusdoor::stand_ins {

/// Path and query of a request, percent-decoded.
struct request_target {
  std::string path;
  std::map<std::string, std::string> query;

  /// Query parameter as a number, or the fallback if it is absent or not a number.
  [[nodiscard]] std::uint64_t number(const std::string& name, std::uint64_t fallback) const;
  /// Query parameter, or an empty string if it is absent.
  [[nodiscard]] std::string text(const std::string& name) const;
};

/// Splits and decodes the target of an HTTP request.
[[nodiscard]] request_target parse_request_target(const std::string& target);

/// Parses a number of 1 to 18 decimal digits. Returns false for any other text.
[[nodiscard]] bool parse_number(std::string_view text, std::uint64_t& number);

}  // namespace crocusdoor::stand_ins

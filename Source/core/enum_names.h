#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace crocusdoor {

/// Specialised for each enumeration that is written to or read from a document:
/// `static constexpr auto names = make_enum_names<Enum>({{Enum::a, "a"}, ...});`
template <typename Enum>
struct enum_names;

template <typename Enum, std::size_t Count>
constexpr std::array<std::pair<Enum, std::string_view>, Count> make_enum_names(
    const std::pair<Enum, std::string_view> (&names)[Count]) {
  std::array<std::pair<Enum, std::string_view>, Count> result{};
  for (std::size_t i = 0; i < Count; ++i) {
    result[i].first = names[i].first;
    result[i].second = names[i].second;
  }
  return result;
}

/// Name of an enumerator, or "unknown" for a value outside the enumeration.
template <typename Enum>
[[nodiscard]] constexpr std::string_view to_string(Enum value) {
  for (const auto& [candidate, name] : enum_names<Enum>::names) {
    if (candidate == value) {
      return name;
    }
  }
  return "unknown";
}

/// Enumerator with the given name, or `std::nullopt`.
template <typename Enum>
[[nodiscard]] constexpr std::optional<Enum> enum_from_string(std::string_view text) {
  for (const auto& [candidate, name] : enum_names<Enum>::names) {
    if (name == text) {
      return candidate;
    }
  }
  return std::nullopt;
}

/// All names of an enumeration, separated by ", ", for error messages.
template <typename Enum>
[[nodiscard]] std::string accepted_names() {
  std::string result;
  for (const auto& entry : enum_names<Enum>::names) {
    result += result.empty() ? "" : ", ";
    result += entry.second;
  }
  return result;
}

}  // namespace crocusdoor

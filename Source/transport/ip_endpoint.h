#pragma once

#include <charconv>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/record_codec.h"

namespace crocusdoor {

/// Numeric IP address and TCP port.
struct ip_endpoint {
  std::string address;
  std::uint16_t port = 0;
  friend auto operator<=>(const ip_endpoint&, const ip_endpoint&) = default;
};

template <>
struct record_fields<ip_endpoint> {
  static constexpr auto table =
      std::make_tuple(required_field("address", &ip_endpoint::address),
                      required_field("port", &ip_endpoint::port, {0, 65'535}));
};

/// An endpoint may also be written as one string, "address:port".
template <>
struct text_format<ip_endpoint> {
  static constexpr std::string_view expected = "a numeric IPv4 address and a port, address:port";

  static std::optional<ip_endpoint> parse(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
      return std::nullopt;
    }
    ip_endpoint parsed{std::string(text.substr(0, colon)), 0};
    const char* end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data() + colon + 1, end, parsed.port);
    const bool valid = error == std::errc() && last == end && parsed.port != 0;
    return valid ? std::optional(parsed) : std::nullopt;
  }
};

[[nodiscard]] inline std::string to_string(const ip_endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

}  // namespace crocusdoor

#pragma once

#include <compare>
#include <cstdint>
#include <string>

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

[[nodiscard]] inline std::string to_string(const ip_endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

}  // namespace crocusdoor

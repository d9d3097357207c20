#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include <optional>

#include "transport/ip_endpoint.h"

namespace crocusdoor::detail {

/// Socket address of an endpoint, or nothing if its address is not a numeric IPv4 address.
[[nodiscard]] inline std::optional<sockaddr_in> to_socket_address(const ip_endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  if (inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

}  // namespace crocusdoor::detail

#pragma once

#include <string_view>

#include "mesh/route_table.h"

namespace crocusdoor {

/// What a daemon can prove about its configuration at the time of a request.
struct configuration_proof {
  /// The configuration was the newest one so recently that requests with its keys may run.
  bool admits = true;
  /// The configuration was the newest one so recently that a key which it does not have may be
  /// denied.
  bool denies = true;
  friend bool operator==(const configuration_proof&, const configuration_proof&) = default;
};

enum class key_decision {
  admitted,
  denied,     ///< The request has no key, or one that no workspace has.
  unproven,   ///< The key is known, but may have been removed.
  unsettled,  ///< A newer version of the configuration may admit the request.
};

struct key_check {
  key_decision decision = key_decision::admitted;
  const mesh_workspace* workspace = nullptr;  ///< Of an admitted request with a known key.
};

/// Decides whether a request on a route may run and which workspace it belongs to, by the value of
/// its `Authorization` header.
[[nodiscard]] key_check check_key(const route_table& configuration, const mesh_route& route,
                                  std::string_view authorization, const configuration_proof& proof);

}  // namespace crocusdoor

#pragma once

#include <cstdint>
#include <vector>

#include "core/error.h"
#include "mesh/mesh_configuration.h"

namespace crocusdoor {

/// What identifies a route for callers.
struct route_key {
  std::string host;
  std::string path_prefix;
  friend auto operator<=>(const route_key&, const route_key&) = default;
};

/// What turns one version of the configuration into a later one. Services and limits are few and
/// are carried whole.
struct configuration_change {
  std::uint64_t base_version = 0;
  std::uint64_t version = 0;
  std::vector<mesh_route> changed;  ///< Routes that are new or differ.
  std::vector<route_key> removed;
  std::vector<mesh_service> services;
  caller_limits limits;
  std::uint64_t fingerprint = 0;  ///< Of the later version.
  friend bool operator==(const configuration_change&, const configuration_change&) = default;
};

/// The same for equal content, whatever the order of the routes. The version plays no part.
[[nodiscard]] std::uint64_t fingerprint_of(const mesh_configuration& content);

[[nodiscard]] configuration_change change_between(const mesh_configuration& before,
                                                  const mesh_configuration& after);

/// The later version, complete. Fails with `error_code::conflict` if `before` is not the base of
/// the change, or if the result is not what the sender has.
[[nodiscard]] leaf::result<mesh_configuration> apply_change(mesh_configuration before,
                                                            const configuration_change& change);

}  // namespace crocusdoor

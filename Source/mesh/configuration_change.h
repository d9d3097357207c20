#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/error.h"
#include "mesh/mesh_configuration.h"

namespace crocusdoor {

/// Key of a route: the host and path prefix that select it for a caller's request.
struct route_key {
  std::string host;
  std::string path_prefix;
  friend auto operator<=>(const route_key&, const route_key&) = default;
};

/// Difference between a version of the configuration and a later one. There are few services and
/// limits, so they are carried in full.
struct configuration_change {
  std::uint64_t base_version = 0;
  std::uint64_t version = 0;
  std::vector<mesh_route> changed;  ///< Routes that are new or differ.
  std::vector<route_key> removed;
  std::vector<mesh_service> services;
  caller_limits limits;
  std::uint64_t fingerprint = 0;  ///< Of the complete later version.
  /// All workspaces of the later version; empty if they are the same as in the base version.
  std::optional<std::vector<mesh_workspace>> workspaces;
  friend bool operator==(const configuration_change&, const configuration_change&) = default;
};

/// Hash of the content without its version. It does not depend on the order of the routes.
[[nodiscard]] std::uint64_t fingerprint_of(const mesh_configuration& configuration);

[[nodiscard]] configuration_change change_between(const mesh_configuration& before,
                                                  const mesh_configuration& after);

/// Returns the complete later version. Fails with `error_code::conflict` if `base` is not the base
/// version of the change, or if the fingerprint of the result differs from the sender's.
[[nodiscard]] leaf::result<mesh_configuration> apply_change(mesh_configuration base,
                                                            const configuration_change& change);

}  // namespace crocusdoor

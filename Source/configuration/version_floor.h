#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "configuration/snapshot.h"
#include "core/strong_string.h"

namespace crocusdoor {

/// Peers that must attest a floor while the platform does not respond, unless fewer are known.
inline constexpr std::size_t floor_peers_needed = 3;

/// Failure domains that the attesting peers must cover, unless the known peers are in fewer.
inline constexpr std::size_t floor_domains_needed = 2;

/// Determines the lowest configuration version that a starting process may serve, so that a restart
/// never takes it back to an older version. Feed it until `floor()` has a value, then pass that to
/// `configuration_holder::raise_floor`.
class version_floor_estimator {
 public:
  /// The platform returned the head object; its version decides.
  void platform_responded(version_number version);

  /// A peer answered. `held` is the version that it holds, `last_seen` the highest version that it
  /// saw this instance hold before the restart (0 if none).
  void peer_reported(const instance_name& peer, const failure_domain& domain, version_number held,
                     version_number last_seen);

  /// Number of peers known and of the failure domains they are in, this instance excluded. Peers
  /// that are announced but do not answer count; those declared dead do not.
  void set_known_peers(std::size_t count, std::size_t domains);

  /// The floor, or nothing as long as too little is known. Without any known peer only the platform
  /// gives a floor. Later attestations can raise the floor.
  [[nodiscard]] std::optional<version_number> floor() const;

 private:
  struct attestation {
    failure_domain domain;
    version_number version = 0;
  };

  [[nodiscard]] bool attested_enough() const;

  std::optional<version_number> platform_version_;
  std::map<instance_name, attestation> attestations_;
  std::size_t known_peers_ = 0;
  std::size_t known_domains_ = 0;
};

}  // namespace crocusdoor

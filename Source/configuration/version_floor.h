#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "configuration/snapshot.h"
#include "core/strong_string.h"

namespace crocusdoor {

/// Minimum number of peers that must have reported a version while the platform does not respond;
/// if fewer peers are known, all of them.
inline constexpr std::size_t floor_peers_needed = 3;

/// Minimum number of failure domains of the reporting peers; if the known peers are in fewer, all
/// of those.
inline constexpr std::size_t floor_domains_needed = 2;

/// Determines the version floor, the lowest configuration version that a starting process may
/// serve, so that it serves no older version than before the restart. Pass it the responses of the
/// platform and of peers, and pass the value of `floor()` to `configuration_holder::raise_floor`
/// once there is one.
class version_floor_estimator {
 public:
  /// Records the version of a head object that the platform returned. It alone determines the
  /// floor.
  void platform_responded(version_number version);

  /// Records the report of a peer. `current_version` is the current version of the peer, and
  /// `version_before_restart` the highest version of this instance that the peer saw before the
  /// restart (0 if none).
  void peer_reported(const instance_name& peer, const failure_domain& domain,
                     version_number current_version, version_number version_before_restart);

  /// Sets the number of known peers and of their failure domains, without this instance. Peers that
  /// are announced but do not respond are included, peers declared dead are not.
  void set_known_peers(std::size_t count, std::size_t domains);

  /// The version floor, or nothing until the platform has responded or enough peers have reported.
  /// If no peer is known, only a response of the platform gives a floor. Later reports can raise
  /// it.
  [[nodiscard]] std::optional<version_number> floor() const;

 private:
  struct peer_report {
    failure_domain domain;
    version_number version = 0;
  };

  [[nodiscard]] bool has_enough_reports() const;

  std::optional<version_number> platform_version_;
  std::map<instance_name, peer_report> reports_;
  std::size_t known_peers_ = 0;
  std::size_t known_domains_ = 0;
};

}  // namespace crocusdoor

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/strong_string.h"
#include "core/time.h"

namespace crocusdoor {

/// One attempt to fetch a version that a peer has reported.
struct catch_up_step {
  /// Peer to request the version from; empty for the platform's store.
  std::optional<instance_name> peer;
  friend bool operator==(const catch_up_step&, const catch_up_step&) = default;
};

/// Decides when and from where a daemon fetches a reported version that it has not received.
///
/// Each version must be in force within a time limit after it was written, also if newer versions
/// follow. So the wait runs from the first report of the oldest version that is not in force, newer
/// versions do not prolong it, and no step waits for the response to the previous one.
class version_catch_up {
 public:
  /// Daemons with different seeds ask different ones of the peers that hold a version. Otherwise
  /// all daemons that have started at once would ask the first of them.
  explicit version_catch_up(std::size_t seed = 0) : peer_steps_(seed) {}

  /// A peer has reported that it has this version. Returns true for the first report of a version
  /// that is newer than the current one.
  bool peer_reported(const instance_name& peer, bool same_domain, std::uint64_t version,
                     time_point now);
  void peer_lost(const instance_name& peer);
  /// This daemon has adopted the version. Returns the longest time since the first report of a
  /// version up to this one; 0 if none of them had been reported.
  duration set_current_version(std::uint64_t version, time_point now);

  /// When the next step is due; empty if no newer version is known.
  [[nodiscard]] std::optional<time_point> due() const;
  /// Takes the step that is due. While the store responds, the first step goes to the store, and
  /// later steps alternate between peers and the store; otherwise all steps go to peers. A daemon
  /// without a configuration asks a peer first, because it reads from the store since its start.
  catch_up_step take_step(bool store_responds, time_point now);

  /// The newest version known; 0 if none is newer than the current one.
  [[nodiscard]] std::uint64_t newest() const;

 private:
  struct peer_version {
    std::uint64_t version = 0;
    bool same_domain = false;
  };

  [[nodiscard]] std::vector<instance_name> candidates() const;

  std::uint64_t current_version_ = 0;
  /// Versions that are newer than the current one.
  std::map<std::uint64_t, time_point> first_reported_at_;
  /// Peers that have reported a newer version than the current one.
  std::map<instance_name, peer_version> peer_versions_;
  /// Empty if no step was taken since the oldest of the newer versions became the oldest.
  std::optional<time_point> last_step_at_;
  std::size_t steps_ = 0;
  std::size_t peer_steps_;
};

}  // namespace crocusdoor

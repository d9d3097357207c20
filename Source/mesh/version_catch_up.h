#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/strong_string.h"
#include "core/time.h"

namespace crocusdoor {

/// One try to get a version that a peer holds.
struct catch_up_step {
  /// Whom to ask; nothing stands for the platform's store.
  std::optional<instance_name> peer;
  friend bool operator==(const catch_up_step&, const catch_up_step&) = default;
};

/// Decides when a daemon fetches a version that it has heard of and not been given, and where from.
///
/// Each version must be in force within a bound after it was written, whatever comes after it. So
/// the wait runs from the oldest version that is not in force, newer ones do not prolong it, and no
/// step waits for the answer to the one before.
class version_catch_up {
 public:
  /// A peer holds this version. Says whether it was not known before that there is one.
  bool peer_reported(const instance_name& peer, bool same_domain, std::uint64_t version,
                     time_point now);
  void peer_lost(const instance_name& peer);
  /// This version is in force now. Returns for how long a version up to this one had been known.
  duration set_current_version(std::uint64_t version, time_point now);

  /// When the next step is due; nothing if no newer version is known.
  [[nodiscard]] std::optional<time_point> due() const;
  /// Takes the step that is due. The store goes first while it answers, then store and peers take
  /// turns.
  catch_up_step take_step(bool store_answers, time_point now);

  /// The newest version known; 0 if none is newer than the one in force.
  [[nodiscard]] std::uint64_t newest() const;

 private:
  struct holder {
    std::uint64_t version = 0;
    bool same_domain = false;
  };

  [[nodiscard]] std::vector<instance_name> candidates() const;

  std::uint64_t held_ = 0;
  std::map<std::uint64_t, time_point> heard_at_;  ///< Versions that are not in force.
  std::map<instance_name, holder> holders_;       ///< Peers with a newer version.
  std::optional<time_point> stepped_at_;          ///< Since the oldest of them was heard of.
  std::size_t steps_ = 0;
  std::size_t peer_steps_ = 0;
};

}  // namespace crocusdoor

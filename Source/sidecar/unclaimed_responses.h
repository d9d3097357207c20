#pragma once

#include <map>

#include "core/strong_string.h"
#include "core/time.h"

namespace crocusdoor {

/// Peers that have not got a response because their link was lost. They ask for the outcome over
/// another link, so a process that stops must not end before they have had the time to.
class unclaimed_responses {
 public:
  /// A response to a peer could not be sent, or its link ended before the peer had acknowledged it.
  void lost(const instance_name& peer, time_point now) { since_[peer] = now; }
  /// A peer has asked for an outcome; its link tells from now on whether it got the response.
  void claimed(const instance_name& peer) { since_.erase(peer); }
  /// Whether a peer may still ask. A link that can be opened again is open after this time.
  [[nodiscard]] bool any(time_point now) {
    std::erase_if(since_, [now](const auto& entry) { return now - entry.second >= claim_time; });
    return !since_.empty();
  }

 private:
  static constexpr duration claim_time = std::chrono::seconds(2);

  std::map<instance_name, time_point> since_;
};

}  // namespace crocusdoor

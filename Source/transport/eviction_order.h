#pragma once

#include "core/time.h"

namespace crocusdoor {

/// What a connection is used for, as far as it matters when a new one needs its place.
enum class connection_use {
  idle,        ///< It has no request.
  unfinished,  ///< The end of its request has not arrived for a while.
  needed,      ///< It is new, or its request is being answered.
};

/// Of what use a connection is.
struct connection_standing {
  connection_use use = connection_use::needed;
  duration idle_time = duration::zero();  ///< Of an idle connection.
  double bytes_per_s = 0;                 ///< Progress of an unfinished request.
  friend bool operator==(const connection_standing&, const connection_standing&) = default;
};

/// An unfinished request is needed for this long after its first byte.
inline constexpr duration unfinished_grace_time = std::chrono::seconds(1);

/// Whether one connection is closed before another if a new one needs a place: the one that has
/// been idle for longest, then the unfinished request with the least progress. Progress counts and
/// not silence, because a client that sends a byte now and then is never silent.
[[nodiscard]] bool is_evicted_before(const connection_standing& left,
                                     const connection_standing& right);

}  // namespace crocusdoor

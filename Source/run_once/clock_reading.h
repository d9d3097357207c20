#pragma once

#include "core/time.h"

namespace crocusdoor {

/// The monotonic and the wall clock of one process, read at the same moment and passed to each
/// input of a state machine.
struct clock_reading {
  time_point now;  ///< Monotonic; for timers and backoff within this process.
  wall_time wall;  ///< Comparable between processes within the clock skew; for expiry.
  friend bool operator==(const clock_reading&, const clock_reading&) = default;
};

}  // namespace crocusdoor

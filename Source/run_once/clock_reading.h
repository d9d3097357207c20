#pragma once

#include "core/time.h"

namespace crocusdoor {

/// Both clocks of one process, read at the same moment and passed into each decision.
struct clock_reading {
  time_point now;  ///< Monotonic; orders timers and back-off within this process.
  wall_time wall;  ///< Comparable between processes up to the clock skew; used for expiry.
  friend bool operator==(const clock_reading&, const clock_reading&) = default;
};

}  // namespace crocusdoor

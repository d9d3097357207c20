#pragma once

#include "core/time.h"

namespace crocusdoor {

/// Tells how long messages of one process were on their way, though the clocks of two processes are
/// not comparable: by how much the time between sending and reading exceeds the least of the last
/// seconds. Time in the buffers of either end and in a loop that stood still is included.
///
/// Both clocks must count the time in which a process or machine is suspended.
class transit_delay {
 public:
  /// A message was sent at `sent_at` on the clock of its sender and is read at `read_at` on the own
  /// clock. Returns its delay.
  [[nodiscard]] duration observe(duration sent_at, duration read_at);

 private:
  duration window_began_{0};
  duration least_ = duration::max();           ///< Of the present window.
  duration previous_least_ = duration::max();  ///< Of the window before.
};

}  // namespace crocusdoor

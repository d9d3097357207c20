#pragma once

#include "core/time.h"

namespace crocusdoor {

/// Estimates how long messages of one process were in transit, although the clocks of two processes
/// are not comparable: a message's offset is the difference of the read time and the send time, and
/// its delay is the excess over the minimum offset of the current and the previous window. The
/// delay includes time in the buffers of either end and in an event loop that was blocked.
///
/// Both clocks must include the time during which a process or machine is suspended.
class transit_delay {
 public:
  /// Returns the delay of a message that was sent at `sent_at` on the sender's clock and read at
  /// `read_at` on the local clock.
  [[nodiscard]] duration observe(duration sent_at, duration read_at);

 private:
  duration window_start_{0};
  duration minimum_offset_ = duration::max();           ///< Of the current window.
  duration previous_minimum_offset_ = duration::max();  ///< Of the previous window.
};

}  // namespace crocusdoor

#pragma once

#include "core/time.h"

namespace crocusdoor {

/// Decides when a process that has finished its work may end: when nothing has been in progress for
/// a quiet time, or at its limit.
class stop_watch {
 public:
  stop_watch(time_point now, duration quiet_time, time_point limit)
      : quiet_time_(quiet_time), limit_(limit), last_busy_at_(now) {}

  /// Records whether something is in progress now. Returns whether the process may end.
  [[nodiscard]] bool may_end(bool busy, time_point now) {
    if (busy) {
      last_busy_at_ = now;
    }
    return now - last_busy_at_ >= quiet_time_ || now >= limit_;
  }

 private:
  duration quiet_time_;
  time_point limit_;
  time_point last_busy_at_;
};

}  // namespace crocusdoor

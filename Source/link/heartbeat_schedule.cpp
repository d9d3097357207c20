#include "link/heartbeat_schedule.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// A link counts as busy for this long after a message. The answer to a request takes about as
/// long.
constexpr duration busy_time = std::chrono::seconds(1);

}  // namespace

bool heartbeat_schedule::is_busy(time_point now) const {
  return now - used_at_ < busy_time;
}

void heartbeat_schedule::used(time_point now) {
  if (!is_busy(now)) {
    busy_since_ = now;
    // The other end begins to wait for heartbeats at the busy interval, too.
    next_at_ = std::min(next_at_, now);
  }
  used_at_ = now;
}

bool heartbeat_schedule::due(const heartbeat_intervals& intervals, time_point now) {
  // The tick at which a heartbeat is due may come a little early.
  if (now + intervals.busy / 4 < next_at_) {
    return false;
  }
  next_at_ = now + (is_busy(now) ? intervals.busy : intervals.idle);
  return true;
}

bool heartbeat_schedule::is_silent(const heartbeat_intervals& intervals, time_point now) const {
  if (is_busy(now)) {
    // What was not heard before the link was used may be due to the idle interval.
    return now - std::max(heard_at_, busy_since_) > intervals.silence_limit;
  }
  const double longer = static_cast<double>(intervals.idle.count()) /
                        static_cast<double>(std::max(intervals.busy, duration(1)).count());
  return silence(now) > std::chrono::duration_cast<duration>(intervals.silence_limit * longer);
}

}  // namespace crocusdoor

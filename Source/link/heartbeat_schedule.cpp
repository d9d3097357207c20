#include "link/heartbeat_schedule.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// A link counts as busy for this long after a message of a request; the response to a request
/// takes about as long.
constexpr duration busy_time = std::chrono::seconds(1);

}  // namespace

bool heartbeat_schedule::is_busy(time_point now) const {
  return now - last_used_at_ < busy_time;
}

void heartbeat_schedule::used(time_point now) {
  if (!is_busy(now)) {
    busy_since_ = now;
    // The peer now also expects heartbeats at the busy interval.
    next_heartbeat_at_ = std::min(next_heartbeat_at_, now);
  }
  last_used_at_ = now;
}

bool heartbeat_schedule::due(const heartbeat_intervals& intervals, time_point now) {
  // Send up to a quarter of the busy interval early, because the timer tick may be early.
  if (now + intervals.busy / 4 < next_heartbeat_at_) {
    return false;
  }
  next_heartbeat_at_ = now + (is_busy(now) ? intervals.busy : intervals.idle);
  return true;
}

bool heartbeat_schedule::is_silent(const heartbeat_intervals& intervals, time_point now) const {
  if (is_busy(now)) {
    // Silence before the link became busy does not count: the peer was then allowed to send
    // heartbeats at the idle interval.
    return now - std::max(last_received_at_, busy_since_) > intervals.silence_limit;
  }
  const double idle_factor = static_cast<double>(intervals.idle.count()) /
                             static_cast<double>(std::max(intervals.busy, duration(1)).count());
  return silence(now) > std::chrono::duration_cast<duration>(intervals.silence_limit * idle_factor);
}

}  // namespace crocusdoor

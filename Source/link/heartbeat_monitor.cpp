#include "link/heartbeat_monitor.h"

#include <algorithm>

namespace crocusdoor {

heartbeat_monitor::heartbeat_monitor(time_point opened_at, heartbeat_limits limits)
    : limits_(limits),
      last_tick_at_(opened_at),
      last_received_at_(opened_at),
      last_sent_at_(opened_at - limits.interval) {}

std::uint64_t heartbeat_monitor::next_heartbeat(time_point now) {
  last_sent_at_ = now;
  return ++sequence_;
}

std::optional<std::uint64_t> heartbeat_monitor::tick(time_point now) {
  const duration elapsed = std::clamp(now - last_tick_at_, duration::zero(), limits_.interval);
  last_tick_at_ = std::max(last_tick_at_, now);
  unanswered_for_ = sequence_ == answered_sequence_ ? duration::zero() : unanswered_for_ + elapsed;
  if (now - last_sent_at_ < limits_.interval) {
    return std::nullopt;
  }
  return next_heartbeat(now);
}

std::optional<std::uint64_t> heartbeat_monitor::probe(time_point now) {
  if (sequence_ != answered_sequence_) {
    return std::nullopt;
  }
  return next_heartbeat(now);
}

bool heartbeat_monitor::answered(std::uint64_t sequence, time_point now) {
  if (sequence <= answered_sequence_ || sequence > sequence_) {
    return false;
  }
  if (sequence == sequence_) {
    round_trip_ = now - last_sent_at_;
  }
  answered_sequence_ = sequence;
  unanswered_for_ = duration::zero();
  last_received_at_ = now;
  return true;
}

link_condition heartbeat_monitor::condition(time_point now) const {
  if (unanswered_for_ >= limits_.response_timeout) {
    return link_condition::silent;
  }
  return now - last_received_at_ > limits_.idle ? link_condition::unchecked
                                                : link_condition::usable;
}

}  // namespace crocusdoor

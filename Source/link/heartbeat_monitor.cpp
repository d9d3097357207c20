#include "link/heartbeat_monitor.h"

#include <algorithm>

namespace crocusdoor {

heartbeat_monitor::heartbeat_monitor(time_point opened, heartbeat_limits limits)
    : limits_(limits), ticked_(opened), heard_(opened), sent_(opened - limits.interval) {}

std::uint64_t heartbeat_monitor::begin(time_point now) {
  sent_ = now;
  return ++sequence_;
}

std::optional<std::uint64_t> heartbeat_monitor::tick(time_point now) {
  const duration passed = std::clamp(now - ticked_, duration::zero(), limits_.interval);
  ticked_ = std::max(ticked_, now);
  waited_ = sequence_ == answered_sequence_ ? duration::zero() : waited_ + passed;
  if (now - sent_ < limits_.interval) {
    return std::nullopt;
  }
  return begin(now);
}

std::optional<std::uint64_t> heartbeat_monitor::probe(time_point now) {
  if (sequence_ != answered_sequence_) {
    return std::nullopt;
  }
  return begin(now);
}

bool heartbeat_monitor::answered(std::uint64_t sequence, time_point now) {
  if (sequence <= answered_sequence_ || sequence > sequence_) {
    return false;
  }
  if (sequence == sequence_) {
    round_trip_ = now - sent_;
  }
  answered_sequence_ = sequence;
  waited_ = duration::zero();
  heard_ = now;
  return true;
}

link_condition heartbeat_monitor::condition(time_point now) const {
  if (waited_ >= limits_.response_timeout) {
    return link_condition::silent;
  }
  return now - heard_ > limits_.idle ? link_condition::unchecked : link_condition::usable;
}

}  // namespace crocusdoor

#pragma once

#include "core/time.h"

namespace crocusdoor {

/// How often one end of a link sends heartbeats, and how long the other may be silent.
struct heartbeat_intervals {
  duration busy{};           ///< While requests or answers pass the link.
  duration idle{};           ///< Otherwise; not shorter than `busy`.
  duration silence_limit{};  ///< For a busy link. An idle one may be silent longer in proportion.
};

/// Decides when one end of a link sends a heartbeat and when it takes the other end as silent.
///
/// Load that it answers: with a link to each of many peers, most links carry little. Heartbeats at
/// the interval that finds a silent link in time for its requests would then cost more than the
/// requests.
class heartbeat_schedule {
 public:
  explicit heartbeat_schedule(time_point opened)
      : busy_since_(opened), used_at_(opened), heard_at_(opened) {}

  /// A message other than a heartbeat was sent or has arrived.
  void used(time_point now);
  /// Anything has arrived.
  void received(time_point now) { heard_at_ = now; }

  /// Whether to send a heartbeat now. True once for each heartbeat.
  [[nodiscard]] bool due(const heartbeat_intervals& intervals, time_point now);
  /// Whether the link is to be given up.
  [[nodiscard]] bool is_silent(const heartbeat_intervals& intervals, time_point now) const;
  [[nodiscard]] duration silence(time_point now) const { return now - heard_at_; }

 private:
  [[nodiscard]] bool is_busy(time_point now) const;

  time_point busy_since_;
  time_point used_at_;
  time_point heard_at_;
  time_point next_at_{};
};

}  // namespace crocusdoor

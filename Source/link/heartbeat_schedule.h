#pragma once

#include "core/time.h"

namespace crocusdoor {

/// How often one end of a link sends heartbeats, and how long its peer may be silent.
struct heartbeat_intervals {
  duration busy{};           ///< While requests or responses are sent over the link.
  duration idle{};           ///< Otherwise; not shorter than `busy`.
  duration silence_limit{};  ///< For a busy link; for an idle one, times `idle / busy`.
};

/// Decides when one end of a link sends a heartbeat and when it considers its peer silent.
///
/// A daemon with links to many peers uses most of them rarely. Heartbeats on all links at the short
/// interval, which is needed to detect a silent link in time for the requests on it, would then
/// cost more than the requests themselves. Idle links therefore use a longer interval.
class heartbeat_schedule {
 public:
  explicit heartbeat_schedule(time_point opened_at)
      : busy_since_(opened_at), last_used_at_(opened_at), last_received_at_(opened_at) {}

  /// Records that a message of a request was sent or received.
  void used(time_point now);
  /// Records the arrival of any message.
  void received(time_point now) { last_received_at_ = now; }

  /// Whether to send a heartbeat now. Returning true schedules the next heartbeat.
  [[nodiscard]] bool due(const heartbeat_intervals& intervals, time_point now);
  /// Whether the peer has been silent for too long and the link is to be closed.
  [[nodiscard]] bool is_silent(const heartbeat_intervals& intervals, time_point now) const;
  /// Time since the last message arrived.
  [[nodiscard]] duration silence(time_point now) const { return now - last_received_at_; }

 private:
  [[nodiscard]] bool is_busy(time_point now) const;

  time_point busy_since_;
  time_point last_used_at_;
  time_point last_received_at_;
  time_point next_heartbeat_at_{};
};

}  // namespace crocusdoor

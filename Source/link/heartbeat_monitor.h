#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace crocusdoor {

/// Intervals and timeouts of the heartbeats on a link.
struct heartbeat_limits {
  duration interval = std::chrono::seconds(1);
  duration response_timeout = std::chrono::seconds(3);  ///< Maximum wait for a response.
  /// A link that has received nothing for longer is probed before a request is written to it.
  duration idle = std::chrono::seconds(2);
};

/// Whether a request may be written to a link.
enum class link_condition {
  usable,
  unchecked,  ///< Idle: send a heartbeat (`probe`) and wait for its response before writing.
  silent,     ///< A heartbeat timed out: close the link and open a new one.
};

/// Heartbeat state of one link, starting when the link is opened. Only responses to heartbeats
/// prove that both directions work, so other messages do not postpone the timeout.
///
/// Call `tick` at least twice per interval. The time between two ticks counts as at most one
/// interval of waiting, so a process that was paused does not treat its links as silent.
class heartbeat_monitor {
 public:
  explicit heartbeat_monitor(time_point opened_at, heartbeat_limits limits = {});

  /// Advances the clock. Returns the sequence number of the heartbeat to send now, if one is due.
  std::optional<std::uint64_t> tick(time_point now);

  /// Returns the sequence number of a heartbeat to send at once, or nothing if one is in flight.
  std::optional<std::uint64_t> probe(time_point now);

  /// Records a heartbeat response. Returns false if it belongs to no heartbeat in flight.
  bool answered(std::uint64_t sequence, time_point now);

  /// Records the arrival of any message.
  void received(time_point now) noexcept { last_received_at_ = now; }

  /// Whether a request may be written now.
  [[nodiscard]] link_condition condition(time_point now) const;

  /// Round-trip time of the last answered heartbeat, if any.
  [[nodiscard]] std::optional<duration> round_trip() const noexcept { return round_trip_; }

 private:
  std::uint64_t next_heartbeat(time_point now);

  heartbeat_limits limits_;
  time_point last_tick_at_;
  time_point last_received_at_;
  time_point last_sent_at_;              ///< Of the last heartbeat.
  std::uint64_t sequence_ = 0;           ///< Of the last heartbeat.
  std::uint64_t answered_sequence_ = 0;  ///< Highest answered sequence number.
  /// Waiting time, counted by `tick` while a heartbeat is unanswered; reset by each response.
  duration unanswered_for_{0};
  std::optional<duration> round_trip_;
};

}  // namespace crocusdoor

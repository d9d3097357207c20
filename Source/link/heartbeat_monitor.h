#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace crocusdoor {

/// Times of the heartbeats on a link.
struct heartbeat_limits {
  duration interval = std::chrono::seconds(1);
  duration response_timeout = std::chrono::seconds(3);  ///< Longest wait for an answer.
  /// A link on which nothing arrived for longer is checked before a request is written to it.
  duration idle = std::chrono::seconds(2);
};

/// Whether a request may be written to a link.
enum class link_condition {
  usable,
  unchecked,  ///< Idle: send a heartbeat (`probe`) and wait for its answer before writing.
  silent,     ///< A heartbeat was not answered in time: close the link and open a new one.
};

/// Heartbeat state of one link, from its opening on. Only answers to heartbeats prove that both
/// directions work, so other messages do not postpone the time-out.
///
/// Call `tick` at least twice per interval. Time during which this process did not run counts as at
/// most one interval of waiting, so a paused process does not take its links for silent.
class heartbeat_monitor {
 public:
  explicit heartbeat_monitor(time_point opened, heartbeat_limits limits = {});

  /// Advances the clock. Returns the sequence number of the heartbeat to send now, if one is due.
  std::optional<std::uint64_t> tick(time_point now);

  /// Sequence number of a heartbeat to send at once, or nothing if one is on its way already.
  std::optional<std::uint64_t> probe(time_point now);

  /// A heartbeat answer arrived. Returns false for an answer to no heartbeat in flight.
  bool answered(std::uint64_t sequence, time_point now);

  /// Any message arrived.
  void received(time_point now) noexcept { heard_ = now; }

  /// Whether a request may be written now.
  [[nodiscard]] link_condition condition(time_point now) const;

  /// Round-trip time of the last answered heartbeat, if any.
  [[nodiscard]] std::optional<duration> round_trip() const noexcept { return round_trip_; }

 private:
  std::uint64_t begin(time_point now);

  heartbeat_limits limits_;
  time_point ticked_;
  time_point heard_;
  time_point sent_;                      ///< When the last heartbeat was sent.
  std::uint64_t sequence_ = 0;           ///< Of the last heartbeat.
  std::uint64_t answered_sequence_ = 0;  ///< Highest answered.
  duration waited_{0};                   ///< Running time since the oldest unanswered heartbeat.
  std::optional<duration> round_trip_;
};

}  // namespace crocusdoor

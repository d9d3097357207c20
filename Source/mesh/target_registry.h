#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/strong_string.h"
#include "core/time.h"
#include "mesh/target_departures.h"

namespace crocusdoor {

/// The description of itself that a target sends in one heartbeat.
struct target_announcement {
  std::string id;              ///< Of this start of the target; a later start may use it again.
  std::uint64_t born_ms = 0;   ///< Wall time of the target's start on its own clock.
  std::uint64_t sequence = 0;  ///< Increases with each heartbeat of one start.
  service_name service;
  std::string address;     ///< Numeric address and port.
  std::int32_t slots = 1;  ///< Requests that it runs at the same time.
  bool draining = false;
  std::chrono::milliseconds warmup_left_ms{0};
  std::string version;  ///< Of the target's software; empty if it is not stated.
  friend bool operator==(const target_announcement&, const target_announcement&) = default;
};

/// How a heartbeat or a withdrawal was treated.
enum class announcement_result {
  accepted,  ///< It is the newest message of the target.
  repeated,  ///< It has been received before.
  outdated,  ///< A later heartbeat, or a later start of the target, is known.
};

/// What the daemon knows of the target beside it.
struct registered_target {
  target_announcement announcement;
  bool leaving = false;  ///< It drains or has withdrawn; it gets no new requests.
  time_point leaving_since{};
  time_point warm_at{};  ///< End of the warm-up after its start.
};

/// Holds the newest heartbeat of the target beside the daemon. Heartbeats may be late, repeated or
/// from an earlier start of the target; they are ordered by the start and then by the sequence.
class target_registry {
 public:
  announcement_result announce(const target_announcement& announcement, time_point now);
  /// A target announces that it leaves. This is recorded whatever is registered, because the
  /// acknowledgement is binding: no heartbeat of the start may have arrived yet, or only that of an
  /// earlier start at the address, which leaves with it. A later start is not affected. Without
  /// `born_ms` and without a registered start of this id, the withdrawal covers all starts under
  /// the id up to `wall_now_ms`.
  announcement_result withdraw(const std::string& id, std::optional<std::uint64_t> born_ms,
                               std::uint64_t wall_now_ms, time_point now);
  /// Registers a target that a health check found before any heartbeat arrived. Changes nothing if
  /// a target is registered already or this one has withdrawn.
  void discover(const target_announcement& announcement);
  /// Records a departure and marks the registered target as leaving if its start has left. Call
  /// also for a departure that a peer or the store has kept over a restart of this daemon.
  void record_departure(const target_departure& departure, time_point now);
  /// Removes the target, unless it is leaving: its response showed that another target has its
  /// address now.
  void forget(const std::string& id);

  [[nodiscard]] const std::optional<registered_target>& target() const noexcept { return target_; }
  [[nodiscard]] bool takes_requests() const noexcept {
    return target_.has_value() && !target_->leaving;
  }

  /// The departures that this daemon has acknowledged, or received from a peer or the store.
  [[nodiscard]] const target_departures& departures() const noexcept { return departures_; }

 private:
  std::optional<registered_target> target_;
  target_departures departures_;
};

}  // namespace crocusdoor

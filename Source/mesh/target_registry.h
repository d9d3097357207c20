#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/strong_string.h"
#include "core/time.h"

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

/// A start of a target that has withdrawn. Its daemon has acknowledged the withdrawal, so the
/// target gets no new requests, also after a restart of the daemon.
struct target_departure {
  std::string id;
  std::uint64_t born_ms = 0;  ///< All starts up to this time have left.
  friend bool operator==(const target_departure&, const target_departure&) = default;
};

/// Holds the newest heartbeat of the target beside the daemon. Heartbeats may be late, repeated or
/// from an earlier start of the target; they are ordered by the start and then by the sequence.
class target_registry {
 public:
  announcement_result announce(const target_announcement& announcement, time_point now);
  /// The target announces that it leaves. Changes nothing if another target, or a later start of
  /// this one, is registered. A target that is not registered yet is recorded as departed, because
  /// the acknowledgement is binding for it as well. Without `born_ms` and without a registered
  /// start, the withdrawal covers all starts up to `wall_now_ms`.
  announcement_result withdraw(const std::string& id, std::optional<std::uint64_t> born_ms,
                               std::uint64_t wall_now_ms, time_point now);
  /// Registers a target that a health check found before any heartbeat arrived. Changes nothing if
  /// a target is registered already or this one has withdrawn.
  void discover(const target_announcement& announcement);
  /// Takes over a departure that a peer has kept over a restart of this daemon.
  void restore_departure(const target_departure& departure, time_point now);
  /// Removes the target, unless it is leaving: its response showed that another target has its
  /// address now.
  void forget(const std::string& id);

  [[nodiscard]] const std::optional<registered_target>& target() const noexcept { return target_; }
  [[nodiscard]] bool takes_requests() const noexcept {
    return target_.has_value() && !target_->leaving;
  }

  /// The latest departure that this daemon has acknowledged or received from a peer.
  [[nodiscard]] const std::optional<target_departure>& departure() const noexcept {
    return departed_;
  }

 private:
  [[nodiscard]] bool has_departed(const target_announcement& announcement) const;
  /// Marks the registered target as leaving.
  void begin_leaving(time_point now);

  std::optional<registered_target> target_;
  std::optional<target_departure> departed_;
};

}  // namespace crocusdoor

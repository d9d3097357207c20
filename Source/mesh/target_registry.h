#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/strong_string.h"
#include "core/time.h"

namespace crocusdoor {

/// What a target says of itself in one heartbeat.
struct target_announcement {
  std::string id;              ///< Of this start of the target; may be used again.
  std::uint64_t born_ms = 0;   ///< Wall time of the target's start on its own clock.
  std::uint64_t sequence = 0;  ///< Rises with each heartbeat of one start.
  service_name service;
  std::string address;     ///< Numeric address and port.
  std::int32_t slots = 1;  ///< Requests that it runs at the same time.
  bool draining = false;
  std::chrono::milliseconds warmup_left_ms{0};
  friend bool operator==(const target_announcement&, const target_announcement&) = default;
};

/// What became of a heartbeat.
enum class announcement_result {
  accepted,  ///< It is the newest word of the target.
  repeated,  ///< Nothing that was not known.
  outdated,  ///< A later heartbeat, or a later start of the target, is known.
};

/// What the daemon knows of the target beside it.
struct registered_target {
  target_announcement announcement;
  bool leaving = false;  ///< It drains or has said that it goes; it gets no new requests.
  time_point leaving_since{};
  time_point warm_at{};  ///< When it has warmed up after its start.
};

/// A start of a target that has said that it goes. Its daemon has acknowledged that, so the target
/// gets no new requests, also after a restart of the daemon.
struct target_departure {
  std::string id;
  std::uint64_t born_ms = 0;  ///< Starts up to this time have gone.
  friend bool operator==(const target_departure&, const target_departure&) = default;
};

/// Holds the newest heartbeat of the target beside the daemon. Heartbeats may be late, repeated or
/// from an earlier start of the target; they are ordered by the start and then by the sequence.
class target_registry {
 public:
  announcement_result announce(const target_announcement& said, time_point now);
  /// The target says that it goes. Nothing if another one, or a later start, is known. A target
  /// that is not known yet is remembered as gone: the acknowledgement binds all the same. A target
  /// that does not say which of its starts goes means any before `wall_now_ms`.
  announcement_result withdraw(const std::string& id, std::optional<std::uint64_t> born_ms,
                               std::uint64_t wall_now_ms, time_point now);
  /// A health check found a target before any heartbeat arrived. Nothing if it has said that it
  /// goes.
  void discover(const target_announcement& found);
  /// A peer has kept the departure from before a restart of this daemon.
  void restore_departure(const target_departure& known, time_point now);
  /// The target has answered that it is another one than the one known.
  void forget(const std::string& id);

  [[nodiscard]] const std::optional<registered_target>& target() const noexcept { return target_; }
  [[nodiscard]] bool takes_requests() const noexcept {
    return target_.has_value() && !target_->leaving;
  }

  /// The latest departure that this daemon has acknowledged or been told of.
  [[nodiscard]] const std::optional<target_departure>& departure() const noexcept {
    return departed_;
  }

 private:
  [[nodiscard]] bool has_departed(const target_announcement& said) const;
  /// Of the registered target.
  void begin_leaving(time_point now);

  std::optional<registered_target> target_;
  std::optional<target_departure> departed_;
};

}  // namespace crocusdoor

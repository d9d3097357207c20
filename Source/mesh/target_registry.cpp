#include "mesh/target_registry.h"

#include <tuple>

namespace crocusdoor {

/// Whether the recorded departure covers the start that the heartbeat belongs to.
bool target_registry::has_departed(const target_announcement& announcement) const {
  return departed_.has_value() && announcement.born_ms <= departed_->born_ms;
}

void target_registry::begin_leaving(time_point now) {
  if (!target_->leaving) {
    target_->leaving = true;
    target_->leaving_since = now;
  }
}

announcement_result target_registry::announce(const target_announcement& announcement,
                                              time_point now) {
  bool was_leaving = false;
  bool same_start = false;
  time_point leaving_since = now;
  if (target_.has_value()) {
    const target_announcement& newest = target_->announcement;
    const auto newest_order = std::tie(newest.born_ms, newest.sequence);
    const auto received_order = std::tie(announcement.born_ms, announcement.sequence);
    if (received_order < newest_order) {
      return announcement_result::outdated;
    }
    if (received_order == newest_order) {
      return announcement_result::repeated;
    }
    // A target that has announced its departure stays leaving for the rest of the same start.
    same_start = newest.born_ms == announcement.born_ms && newest.id == announcement.id;
    was_leaving = same_start && target_->leaving;
    if (was_leaving) {
      leaving_since = target_->leaving_since;
    }
  }
  if (!same_start && has_departed(announcement)) {
    return announcement_result::outdated;
  }
  const bool leaving = announcement.draining || was_leaving;
  target_ =
      registered_target{announcement, leaving, leaving_since, now + announcement.warmup_left_ms};
  if (leaving) {
    departed_ = target_departure{announcement.id, announcement.born_ms};
  }
  return announcement_result::accepted;
}

announcement_result target_registry::withdraw(const std::string& id,
                                              std::optional<std::uint64_t> born_ms,
                                              std::uint64_t wall_now_ms, time_point now) {
  std::uint64_t departed_born_ms = born_ms.value_or(wall_now_ms);
  if (target_.has_value()) {
    const std::uint64_t registered_born_ms = target_->announcement.born_ms;
    if (target_->announcement.id != id || (born_ms.has_value() && *born_ms < registered_born_ms)) {
      return announcement_result::outdated;
    }
    // The start of a target that a health check found is not known; its `born_ms` is 0.
    departed_born_ms = registered_born_ms > 0 ? registered_born_ms : departed_born_ms;
    begin_leaving(now);
  }
  departed_ = target_departure{id, departed_born_ms};
  return announcement_result::accepted;
}

void target_registry::restore_departure(const target_departure& departure, time_point now) {
  const bool registered = target_.has_value() && target_->announcement.id == departure.id &&
                          target_->announcement.born_ms <= departure.born_ms;
  if (registered) {
    begin_leaving(now);
  }
  if (!departed_.has_value() || departed_->born_ms < departure.born_ms) {
    departed_ = departure;
  }
}

void target_registry::discover(const target_announcement& announcement) {
  const bool departed = departed_.has_value() && departed_->id == announcement.id;
  if (!target_.has_value() && !departed) {
    target_ = registered_target{announcement, false, {}, {}};
  }
}

void target_registry::forget(const std::string& id) {
  if (target_.has_value() && target_->announcement.id == id && !target_->leaving) {
    target_.reset();
  }
}

}  // namespace crocusdoor

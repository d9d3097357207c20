#include "mesh/target_registry.h"

#include <tuple>

namespace crocusdoor {

void target_registry::record_departure(const target_departure& departure, time_point now) {
  departures_.add(departure);
  const bool left = target_.has_value() &&
                    departures_.covers(target_->announcement.id, target_->announcement.born_ms);
  if (left && !target_->leaving) {
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
      if (announcement.draining) {
        record_departure({announcement.id, announcement.born_ms}, now);
      }
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
  if (!same_start && departures_.covers(announcement.id, announcement.born_ms)) {
    return announcement_result::outdated;
  }
  const bool leaving = announcement.draining || was_leaving;
  target_ =
      registered_target{announcement, leaving, leaving_since, now + announcement.warmup_left_ms};
  if (leaving) {
    departures_.add({announcement.id, announcement.born_ms});
  }
  return announcement_result::accepted;
}

announcement_result target_registry::withdraw(const std::string& id,
                                              std::optional<std::uint64_t> born_ms,
                                              std::uint64_t wall_now_ms, time_point now) {
  const std::uint64_t registered_born_ms = target_.has_value() ? target_->announcement.born_ms : 0;
  const bool later_registered = born_ms.has_value() && *born_ms < registered_born_ms;
  if (!born_ms.has_value() && target_.has_value() && target_->announcement.id == id &&
      registered_born_ms > 0) {
    born_ms = registered_born_ms;
  }
  record_departure({id, born_ms.value_or(wall_now_ms), born_ms.has_value()}, now);
  return later_registered ? announcement_result::outdated : announcement_result::accepted;
}

void target_registry::discover(const target_announcement& announcement) {
  if (!target_.has_value() && !departures_.covers(announcement.id, 0)) {
    target_ = registered_target{announcement, false, {}, {}};
  }
}

void target_registry::forget(const std::string& id) {
  if (target_.has_value() && target_->announcement.id == id && !target_->leaving) {
    target_.reset();
  }
}

}  // namespace crocusdoor

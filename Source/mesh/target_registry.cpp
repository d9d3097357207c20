#include "mesh/target_registry.h"

#include <tuple>

namespace crocusdoor {

/// A start that is not later than the one that has gone.
bool target_registry::has_departed(const target_announcement& said) const {
  return departed_.has_value() && said.born_ms <= departed_->born_ms;
}

void target_registry::begin_leaving(time_point now) {
  if (!target_->leaving) {
    target_->leaving = true;
    target_->leaving_since = now;
  }
}

announcement_result target_registry::announce(const target_announcement& said, time_point now) {
  bool was_leaving = false;
  bool same_start = false;
  time_point leaving_since = now;
  if (target_.has_value()) {
    const target_announcement& held = target_->announcement;
    const auto known = std::tie(held.born_ms, held.sequence);
    const auto heard = std::tie(said.born_ms, said.sequence);
    if (heard < known) {
      return announcement_result::outdated;
    }
    if (heard == known) {
      return announcement_result::repeated;
    }
    // A target that has said it leaves does not come back under the same start.
    same_start = held.born_ms == said.born_ms && held.id == said.id;
    was_leaving = same_start && target_->leaving;
    if (was_leaving) {
      leaving_since = target_->leaving_since;
    }
  }
  if (!same_start && has_departed(said)) {
    return announcement_result::outdated;
  }
  const bool leaving = said.draining || was_leaving;
  target_ = registered_target{said, leaving, leaving_since, now + said.warmup_left_ms};
  if (leaving) {
    departed_ = target_departure{said.id, said.born_ms};
  }
  return announcement_result::accepted;
}

announcement_result target_registry::withdraw(const std::string& id,
                                              std::optional<std::uint64_t> born_ms,
                                              std::uint64_t wall_now_ms, time_point now) {
  std::uint64_t start = born_ms.value_or(wall_now_ms);
  if (target_.has_value()) {
    const std::uint64_t held = target_->announcement.born_ms;
    if (target_->announcement.id != id || (born_ms.has_value() && *born_ms < held)) {
      return announcement_result::outdated;
    }
    // A target that a health check has found has no known start.
    start = held > 0 ? held : start;
    begin_leaving(now);
  }
  departed_ = target_departure{id, start};
  return announcement_result::accepted;
}

void target_registry::restore_departure(const target_departure& known, time_point now) {
  const bool registered = target_.has_value() && target_->announcement.id == known.id &&
                          target_->announcement.born_ms <= known.born_ms;
  if (registered) {
    begin_leaving(now);
  }
  if (!departed_.has_value() || departed_->born_ms < known.born_ms) {
    departed_ = known;
  }
}

void target_registry::discover(const target_announcement& found) {
  const bool departed = departed_.has_value() && departed_->id == found.id;
  if (!target_.has_value() && !departed) {
    target_ = registered_target{found, false, {}, {}};
  }
}

void target_registry::forget(const std::string& id) {
  if (target_.has_value() && target_->announcement.id == id && !target_->leaving) {
    target_.reset();
  }
}

}  // namespace crocusdoor

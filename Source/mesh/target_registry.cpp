#include "mesh/target_registry.h"

#include <tuple>

namespace crocusdoor {

/// A start that is not later than the one that has gone.
bool target_registry::has_departed(const target_announcement& said) const {
  return departed_.has_value() && said.born_ms <= departed_->born_ms;
}

announcement_result target_registry::announce(const target_announcement& said, time_point now) {
  if (has_departed(said)) {
    return announcement_result::outdated;
  }
  bool was_leaving = false;
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
    was_leaving = held.born_ms == said.born_ms && held.id == said.id && target_->leaving;
    if (was_leaving) {
      leaving_since = target_->leaving_since;
    }
  }
  target_ = registered_target{said, said.draining || was_leaving, leaving_since,
                              now + said.warmup_left_ms};
  return announcement_result::accepted;
}

announcement_result target_registry::withdraw(const std::string& id,
                                              std::optional<std::uint64_t> born_ms,
                                              time_point now) {
  if (!target_.has_value()) {
    departed_ = target_departure{id, born_ms.value_or(0)};
    return announcement_result::accepted;
  }
  if (target_->announcement.id != id) {
    return announcement_result::outdated;
  }
  if (born_ms.has_value() && *born_ms < target_->announcement.born_ms) {
    return announcement_result::outdated;
  }
  if (!target_->leaving) {
    target_->leaving = true;
    target_->leaving_since = now;
  }
  return announcement_result::accepted;
}

void target_registry::recall(const target_departure& known, time_point now) {
  if (target_.has_value()) {
    withdraw(known.id, known.born_ms, now);
  } else if (!departed_.has_value() || departed_->born_ms < known.born_ms) {
    departed_ = known;
  }
}

std::optional<target_departure> target_registry::departure() const {
  if (target_.has_value() && target_->leaving) {
    return target_departure{target_->announcement.id, target_->announcement.born_ms};
  }
  return departed_;
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

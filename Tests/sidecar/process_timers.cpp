#include "process_timers.h"

#include <algorithm>
#include <utility>

namespace crocusdoor {

duration process_timers::lateness() {
  const duration frozen = std::max(frozen_until_ - now(), duration::zero());
  const bool late = longest_lateness_ > duration::zero();
  return frozen + (late ? random_.up_to(longest_lateness_) : duration::zero());
}

void process_timers::due(const std::shared_ptr<late_timer>& one) {
  const duration late = lateness();
  if (late == duration::zero()) {
    one->action();
    return;
  }
  one->inner = clock_.after(late, [weak = std::weak_ptr(one)] {
    if (const auto held = weak.lock()) {
      held->action();
    }
  });
}

timer_handle process_timers::after(duration delay, std::function<void()> action) {
  const auto one = std::make_shared<late_timer>();
  one->action = std::move(action);
  one->inner = clock_.after(delay, [this, weak = std::weak_ptr(one)] {
    if (const auto held = weak.lock()) {
      due(held);
    }
  });
  return one;
}

timer_handle process_timers::every(duration interval, std::function<void()> action) {
  return clock_.every(interval, [this, action = std::move(action)] {
    if (lateness() == duration::zero()) {
      action();
    }
  });
}

void process_timers::post(duration delay, std::function<void()> action) {
  clock_.post(delay, [this, alive = std::weak_ptr(alive_), action = std::move(action)] {
    if (alive.expired()) {
      return;
    }
    const duration late = lateness();
    if (late == duration::zero()) {
      action();
      return;
    }
    clock_.post(late, [alive, action] {
      if (!alive.expired()) {
        action();
      }
    });
  });
}

}  // namespace crocusdoor

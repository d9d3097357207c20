#include "process_timers.h"

#include <algorithm>
#include <utility>

namespace crocusdoor {

duration process_timers::lateness() {
  const duration frozen = std::max(frozen_until_ - now(), duration::zero());
  const bool late = maximum_lateness_ > duration::zero();
  return frozen + (late ? random_.up_to(maximum_lateness_) : duration::zero());
}

void process_timers::run_when_due(const std::shared_ptr<late_timer>& timer) {
  const duration late = lateness();
  if (late == duration::zero()) {
    timer->action();
    return;
  }
  timer->inner = clock_.after(late, [weak = std::weak_ptr(timer)] {
    if (const auto live_timer = weak.lock()) {
      live_timer->action();
    }
  });
}

timer_handle process_timers::after(duration delay, std::function<void()> action) {
  const auto timer = std::make_shared<late_timer>();
  timer->action = std::move(action);
  timer->inner = clock_.after(delay, [this, weak = std::weak_ptr(timer)] {
    if (const auto live_timer = weak.lock()) {
      run_when_due(live_timer);
    }
  });
  return timer;
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

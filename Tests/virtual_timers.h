#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "transport/timer_service.h"

namespace crocusdoor {

/// A virtual clock that only `run_until` and `run_for` advance. Timers run in order of their time;
/// timers of the same time run in the order in which they were scheduled.
class virtual_timers : public timer_service {
 public:
  [[nodiscard]] time_point now() const override { return now_; }

  [[nodiscard]] timer_handle after(duration delay, std::function<void()> action) override {
    const auto new_timer = std::make_shared<timer>(timer{std::move(action), duration::zero()});
    schedule(delay, new_timer);
    return new_timer;
  }

  [[nodiscard]] timer_handle every(duration interval, std::function<void()> action) override {
    const auto new_timer = std::make_shared<timer>(timer{std::move(action), interval});
    schedule(interval, new_timer);
    return new_timer;
  }

  void post(std::function<void()> action) override { post(duration::zero(), std::move(action)); }

  /// Runs `action` after `delay`. It cannot be cancelled.
  void post(duration delay, std::function<void()> action) {
    const auto new_timer = std::make_shared<timer>(timer{std::move(action), duration::zero()});
    queue_.emplace(due_position{now_ + std::max(delay, duration::zero()), ++scheduled_count_},
                   entry{new_timer, new_timer});
  }

  /// Runs all timers due up to and including `end`, then sets the clock to `end`.
  void run_until(time_point end) {
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      const auto earliest = queue_.begin();
      now_ = earliest->first.first;
      const std::shared_ptr<timer> due_timer = earliest->second.handle.lock();
      queue_.erase(earliest);
      if (due_timer == nullptr) {
        continue;
      }
      if (due_timer->interval > duration::zero()) {
        schedule(due_timer->interval, due_timer);
      }
      due_timer->action();
    }
    now_ = end;
  }
  void run_for(duration span) { run_until(now_ + span); }

 private:
  struct timer {
    std::function<void()> action;
    duration interval;  ///< Zero for a timer that runs once.
  };
  struct entry {
    std::weak_ptr<timer> handle;
    std::shared_ptr<timer> owned;  ///< Only set for actions that cannot be cancelled.
  };
  using due_position = std::pair<time_point, std::uint64_t>;

  void schedule(duration delay, const std::shared_ptr<timer>& scheduled_timer) {
    queue_.emplace(due_position{now_ + std::max(delay, duration::zero()), ++scheduled_count_},
                   entry{scheduled_timer, nullptr});
  }

  std::map<due_position, entry> queue_;
  std::uint64_t scheduled_count_ = 0;
  time_point now_{};
};

}  // namespace crocusdoor

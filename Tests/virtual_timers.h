#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "transport/timer_service.h"

namespace crocusdoor {

/// A clock that stands still until the test advances it. Timers run in order of time, then of
/// scheduling.
class virtual_timers : public timer_service {
 public:
  [[nodiscard]] time_point now() const override { return now_; }

  [[nodiscard]] timer_handle after(duration delay, std::function<void()> action) override {
    const auto one = std::make_shared<timer>(timer{std::move(action), duration::zero()});
    schedule(delay, one);
    return one;
  }

  [[nodiscard]] timer_handle every(duration interval, std::function<void()> action) override {
    const auto one = std::make_shared<timer>(timer{std::move(action), interval});
    schedule(interval, one);
    return one;
  }

  void post(std::function<void()> action) override { post(duration::zero(), std::move(action)); }

  /// Runs `action` after `delay`; nothing cancels it.
  void post(duration delay, std::function<void()> action) {
    const auto one = std::make_shared<timer>(timer{std::move(action), duration::zero()});
    due_.emplace(place{now_ + std::max(delay, duration::zero()), ++scheduled_}, entry{one, one});
  }

  /// Runs all timers up to and including `end`.
  void run_until(time_point end) {
    while (!due_.empty() && due_.begin()->first.first <= end) {
      const auto first = due_.begin();
      now_ = first->first.first;
      const std::shared_ptr<timer> one = first->second.handle.lock();
      due_.erase(first);
      if (one == nullptr) {
        continue;
      }
      if (one->interval > duration::zero()) {
        schedule(one->interval, one);
      }
      one->action();
    }
    now_ = end;
  }
  void run_for(duration span) { run_until(now_ + span); }

 private:
  struct timer {
    std::function<void()> action;
    duration interval;  ///< Zero if it runs once.
  };
  struct entry {
    std::weak_ptr<timer> handle;
    std::shared_ptr<timer> owned;  ///< Of a timer that nothing cancels.
  };
  using place = std::pair<time_point, std::uint64_t>;

  void schedule(duration delay, const std::shared_ptr<timer>& one) {
    due_.emplace(place{now_ + std::max(delay, duration::zero()), ++scheduled_},
                 entry{one, nullptr});
  }

  std::map<place, entry> due_;
  std::uint64_t scheduled_ = 0;
  time_point now_{};
};

}  // namespace crocusdoor

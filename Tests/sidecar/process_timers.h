#pragma once

#include <functional>
#include <memory>

#include "core/random_source.h"
#include "virtual_timers.h"

namespace crocusdoor {

/// The timers of one process, which can be frozen or run late while the clock continues.
class process_timers : public timer_service {
 public:
  process_timers(virtual_timers& clock, random_source& random) : clock_(clock), random_(random) {}

  [[nodiscard]] time_point now() const override { return clock_.now(); }
  [[nodiscard]] timer_handle after(duration delay, std::function<void()> action) override;
  [[nodiscard]] timer_handle every(duration interval, std::function<void()> action) override;
  void post(std::function<void()> action) override { post(duration::zero(), std::move(action)); }
  /// Runs `action` after `delay`, unless the process has ended by then.
  void post(duration delay, std::function<void()> action);

  [[nodiscard]] virtual_timers& clock() { return clock_; }
  void freeze_until(time_point when) { frozen_until_ = when; }
  void set_lateness(duration maximum) { maximum_lateness_ = maximum; }

 private:
  struct late_timer {
    std::function<void()> action;
    timer_handle inner;
  };

  void run_when_due(const std::shared_ptr<late_timer>& timer);
  [[nodiscard]] duration lateness();

  virtual_timers& clock_;
  random_source& random_;
  time_point frozen_until_{};
  duration maximum_lateness_{0};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace crocusdoor

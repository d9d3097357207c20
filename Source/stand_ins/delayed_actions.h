#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "transport/event_loop.h"

namespace crocusdoor::stand_ins {

/// Actions scheduled for later that are dropped when their owner is destroyed.
class delayed_actions {
 public:
  explicit delayed_actions(event_loop& loop) : loop_(loop) {}

  /// Runs the action after the delay; returns a number for `cancel`.
  std::uint64_t after(duration delay, std::function<void()> action);
  void cancel(std::uint64_t number) { timers_.erase(number); }

 private:
  event_loop& loop_;
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, timer_handle> timers_;
};

}  // namespace crocusdoor::stand_ins

#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "transport/event_loop.h"

namespace crocusdoor::stand_ins {

/// Actions that run after a delay. Destroying the object cancels those that have not run yet.
class delayed_actions {
 public:
  explicit delayed_actions(event_loop& loop) : loop_(loop) {}

  /// Runs the action after the delay; returns an id for `cancel`.
  std::uint64_t after(duration delay, std::function<void()> action);
  void cancel(std::uint64_t id) { timers_.erase(id); }

 private:
  event_loop& loop_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, timer_handle> timers_;
};

}  // namespace crocusdoor::stand_ins

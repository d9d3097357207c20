#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/time.h"

namespace crocusdoor::load_benchmark {

/// Event queue with a virtual clock. Runs events in order of their time; events of the same time
/// run in the order in which they were scheduled.
class event_queue {
 public:
  [[nodiscard]] time_point now() const noexcept { return now_; }

  void at(time_point when, std::function<void()> action) {
    events_.push({std::max(when, now_), ++scheduled_, std::move(action)});
  }
  void after(duration delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }

  /// Runs all events due up to and including `end`, then sets the clock to `end`.
  void run_until(time_point end) {
    while (!events_.empty() && events_.top().when <= end) {
      const event next = events_.top();
      events_.pop();
      now_ = next.when;
      next.action();
    }
    now_ = end;
  }

 private:
  struct event {
    time_point when;
    std::uint64_t sequence = 0;
    std::function<void()> action;
    friend bool operator<(const event& first, const event& second) {
      return std::pair(second.when, second.sequence) < std::pair(first.when, first.sequence);
    }
  };
  std::priority_queue<event> events_;
  std::uint64_t scheduled_ = 0;
  time_point now_;
};

}  // namespace crocusdoor::load_benchmark

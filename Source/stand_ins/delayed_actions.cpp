#include "stand_ins/delayed_actions.h"

#include <utility>

namespace crocusdoor::stand_ins {

std::uint64_t delayed_actions::after(duration delay, std::function<void()> action) {
  const std::uint64_t number = ++last_;
  timers_[number] = loop_.after(delay, [this, number, run = std::move(action)] {
    timers_.erase(number);
    run();
  });
  return number;
}

}  // namespace crocusdoor::stand_ins

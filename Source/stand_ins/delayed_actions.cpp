#include "stand_ins/delayed_actions.h"

#include <utility>

namespace crocusdoor::stand_ins {

std::uint64_t delayed_actions::after(duration delay, std::function<void()> action) {
  const std::uint64_t id = ++last_id_;
  timers_[id] = loop_.after(delay, [this, id, scheduled_action = std::move(action)] {
    timers_.erase(id);
    scheduled_action();
  });
  return id;
}

}  // namespace crocusdoor::stand_ins

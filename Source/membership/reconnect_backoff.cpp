#include "membership/reconnect_backoff.h"

#include <algorithm>

namespace crocusdoor {

duration reconnect_backoff::next_delay(random_source& random) {
  duration ceiling = limits_.base;
  for (std::uint32_t i = 0; i < failures_ && ceiling < limits_.cap; ++i) {
    ceiling *= 2;
  }
  ++failures_;
  return random.up_to(std::min(ceiling, limits_.cap));
}

}  // namespace crocusdoor

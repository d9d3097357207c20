#include "membership/platform_budget.h"

#include <algorithm>

namespace crocusdoor {

duration platform_budget::interval(std::size_t directory_size) const {
  const auto instances = static_cast<double>(std::max(directory_size, limits_.minimum_instances));
  const double seconds = instances / (limits_.reads_per_second * limits_.utilisation);
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

bool platform_budget::take(std::size_t directory_size, time_point now, random_source& random) {
  const duration share = interval(directory_size);
  if (!waiting_) {
    waiting_ = true;
    next_read_ = std::max(refill_at_, now + random.up_to(share));
  }
  if (now < next_read_) {
    return false;
  }
  waiting_ = false;
  refill_at_ = now + share;
  return true;
}

}  // namespace crocusdoor

#include "link/transit_delay.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// Long enough for several heartbeats of an idle link; clocks drift by less than 2 ms in it.
constexpr duration window_length = std::chrono::seconds(10);

}  // namespace

duration transit_delay::observe(duration sent_at, duration read_at) {
  if (read_at - window_began_ >= window_length) {
    window_began_ = read_at;
    previous_least_ = least_;
    least_ = duration::max();
  }
  const duration offset = read_at - sent_at;
  least_ = std::min(least_, offset);
  return offset - std::min(least_, previous_least_);
}

}  // namespace crocusdoor

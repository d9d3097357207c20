#include "link/transit_delay.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// Long enough for several heartbeats of an idle link; clocks drift apart by less than 2 ms in it.
constexpr duration window_length = std::chrono::seconds(10);

}  // namespace

duration transit_delay::observe(duration sent_at, duration read_at) {
  if (read_at - window_start_ >= window_length) {
    window_start_ = read_at;
    previous_minimum_offset_ = minimum_offset_;
    minimum_offset_ = duration::max();
  }
  const duration offset = read_at - sent_at;
  minimum_offset_ = std::min(minimum_offset_, offset);
  return offset - std::min(minimum_offset_, previous_minimum_offset_);
}

}  // namespace crocusdoor

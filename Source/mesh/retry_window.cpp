#include "mesh/retry_window.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// Share of the bound that is used. The calls that a repeated run makes count as repeats at the
/// services that it calls, where nobody can tell them from others; they need as much again.
constexpr double used_share = 0.45;

std::int64_t index_at(time_point now, duration window, std::size_t parts) {
  const duration length = window / static_cast<duration::rep>(parts);
  return now.time_since_epoch() / std::max(length, duration(1));
}

}  // namespace

retry_window::part& retry_window::part_at(time_point now, duration window) {
  const std::int64_t index = index_at(now, window, part_count);
  part& current = parts_[static_cast<std::size_t>(index) % part_count];
  if (current.index != index) {
    current = {index, 0, 0};
  }
  return current;
}

retry_window::part retry_window::sum(time_point now, duration window) const {
  const std::int64_t newest = index_at(now, window, part_count);
  part total;
  for (const part& one : parts_) {
    if (one.index > newest - static_cast<std::int64_t>(part_count)) {
      total.requests += one.requests;
      total.repeats += one.repeats;
    }
  }
  return total;
}

void retry_window::request_started(time_point now, duration window) {
  ++part_at(now, window).requests;
}

void retry_window::count_repeat(time_point now, duration window) {
  ++part_at(now, window).repeats;
}

bool retry_window::take_repeat(const retry_limit& limit, std::size_t daemons, time_point now) {
  const part total = sum(now, limit.window);
  const double slack = limit.slack / static_cast<double>(std::max<std::size_t>(daemons, 1));
  const double allowed = used_share * (limit.ratio * total.requests + slack);
  if (total.repeats + 1 > allowed) {
    return false;
  }
  count_repeat(now, limit.window);
  return true;
}

}  // namespace crocusdoor

#include "mesh/retry_window.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// Share of the limit that is used. The calls that a repeated run makes count as repeats at the
/// services that it calls, where they cannot be told from other calls; they need as much again.
constexpr double used_share = 0.45;

std::int64_t index_at(time_point now, duration window, std::size_t buckets) {
  const duration length = window / static_cast<duration::rep>(buckets);
  return now.time_since_epoch() / std::max(length, duration(1));
}

}  // namespace

retry_window::bucket& retry_window::bucket_at(time_point now, duration window) {
  const std::int64_t index = index_at(now, window, bucket_count);
  bucket& current = buckets_[static_cast<std::size_t>(index) % bucket_count];
  if (current.index != index) {
    current = {index, 0, 0};
  }
  return current;
}

retry_window::bucket retry_window::sum(time_point now, duration window) const {
  const std::int64_t newest = index_at(now, window, bucket_count);
  bucket total;
  for (const bucket& entry : buckets_) {
    if (entry.index > newest - static_cast<std::int64_t>(bucket_count)) {
      total.requests += entry.requests;
      total.repeats += entry.repeats;
    }
  }
  return total;
}

void retry_window::request_started(time_point now, duration window) {
  ++bucket_at(now, window).requests;
}

void retry_window::count_repeat(time_point now, duration window) {
  ++bucket_at(now, window).repeats;
}

bool retry_window::take_repeat(const retry_limit& limit, std::size_t daemons, time_point now) {
  const bucket total = sum(now, limit.window);
  const double slack = limit.slack / static_cast<double>(std::max<std::size_t>(daemons, 1));
  const double allowed = used_share * (limit.ratio * total.requests + slack);
  if (total.repeats + 1 > allowed) {
    return false;
  }
  count_repeat(now, limit.window);
  return true;
}

}  // namespace crocusdoor

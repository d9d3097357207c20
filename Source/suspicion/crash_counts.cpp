#include "suspicion/crash_counts.h"

#include <algorithm>
#include <tuple>

namespace crocusdoor {

namespace {

/// A request with this many crashes is not sent to targets any more. One crash is not enough: most
/// of the requests in flight at a crash did not cause it.
constexpr std::int32_t refusal_crashes = 2;

bool is_newer(const crash_count& left, const crash_count& right) {
  return std::tie(left.clearings, left.crashes) > std::tie(right.clearings, right.crashes);
}

}  // namespace

std::optional<crash_count> crash_counts::crashed(const digest& request, const crash_count& known,
                                                 time_point now) {
  if (completed_recently(request, now)) {
    return std::nullopt;
  }
  const crash_count next{request, known.clearings, known.crashes + 1};
  return merge(next, now) ? std::optional(next) : std::nullopt;
}

std::optional<crash_count> crash_counts::retract(const digest& request, const crash_count& known,
                                                 time_point now) {
  const crash_count current = count(request);
  if (current.clearings != known.clearings || current.crashes <= known.crashes) {
    return std::nullopt;
  }
  const crash_count next{request, current.clearings + 1, current.crashes - 1};
  return merge(next, now) ? std::optional(next) : std::nullopt;
}

std::optional<crash_count> crash_counts::completed(const digest& request, time_point now) {
  if (completions_.size() < limits_.completions || completions_.contains(request)) {
    completions_[request] = now;
  }
  return clear(request, now);
}

std::optional<crash_count> crash_counts::reset_if_completed(const digest& request, time_point now) {
  return completed_recently(request, now) ? clear(request, now) : std::nullopt;
}

bool crash_counts::completed_recently(const digest& request, time_point now) const {
  const auto found = completions_.find(request);
  return found != completions_.end() && now - found->second < limits_.completion_memory;
}

std::optional<crash_count> crash_counts::clear(const digest& request, time_point now) {
  const crash_count current = count(request);
  if (current.crashes == 0) {
    return std::nullopt;
  }
  const crash_count next{request, current.clearings + 1, 0};
  return merge(next, now) ? std::optional(next) : std::nullopt;
}

bool crash_counts::merge(const crash_count& received, time_point now) {
  if (received.request.empty() || !is_newer(received, count(received.request))) {
    return false;
  }
  entries_[received.request] = {received, now};
  if (entries_.size() > limits_.requests) {
    remove_oldest();
  }
  return true;
}

crash_count crash_counts::count(const digest& request) const {
  const auto found = entries_.find(request);
  return found == entries_.end() ? crash_count{request, 0, 0} : found->second.count;
}

duration crash_counts::refusal_left(const digest& request, time_point now) const {
  const auto found = entries_.find(request);
  if (found == entries_.end() || found->second.count.crashes < refusal_crashes) {
    return duration::zero();
  }
  return std::max(found->second.changed_at + limits_.age - now, duration::zero());
}

void crash_counts::expire(time_point now) {
  std::erase_if(entries_,
                [&](const auto& item) { return now - item.second.changed_at >= limits_.age; });
  std::erase_if(completions_,
                [&](const auto& item) { return now - item.second >= limits_.completion_memory; });
}

std::vector<crash_count> crash_counts::all() const {
  std::vector<crash_count> counts;
  for (const auto& [request, known] : entries_) {
    counts.push_back(known.count);
  }
  return counts;
}

std::size_t crash_counts::refused(time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [&](const auto& item) { return refusal_left(item.first, now) > duration::zero(); }));
}

void crash_counts::remove_oldest() {
  entries_.erase(
      std::min_element(entries_.begin(), entries_.end(), [](const auto& left, const auto& right) {
        return left.second.changed_at < right.second.changed_at;
      }));
}

}  // namespace crocusdoor

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
  const crash_count next{request, known.clearings, known.crashes + 1, known.base, known.group};
  return merge(next, now) ? std::optional(next) : std::nullopt;
}

std::optional<crash_count> crash_counts::retract(const digest& request, const crash_count& known,
                                                 time_point now) {
  const crash_count current = count(request);
  if (current.clearings != known.clearings || current.crashes <= known.crashes) {
    return std::nullopt;
  }
  const crash_count next{request, current.clearings + 1, current.crashes - 1, current.base,
                         current.group};
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
  const crash_count next{request, current.clearings + 1, 0, current.base, current.group};
  return merge(next, now) ? std::optional(next) : std::nullopt;
}

bool crash_counts::merge(const crash_count& received, time_point now) {
  if (received.request.empty() || !is_newer(received, count(received.request))) {
    return false;
  }
  entries_[received.request] = {received, now};
  if (!received.base.empty()) {
    features_[received.base].insert(received.request);
  }
  if (entries_.size() > limits_.requests) {
    remove_oldest();
  }
  return true;
}

crash_count crash_counts::count(const digest& request) const {
  const auto found = entries_.find(request);
  return found == entries_.end() ? crash_count{request, 0, 0} : found->second.count;
}

duration crash_counts::time_left(const entry& known, time_point now) const {
  return std::max(known.changed_at + limits_.age - now, duration::zero());
}

duration crash_counts::refusal_left(const digest& request, time_point now) const {
  const auto found = entries_.find(request);
  return found == entries_.end() || found->second.count.crashes < refusal_crashes
             ? duration::zero()
             : time_left(found->second, now);
}

crash_counts::feature_entries crash_counts::features_of(const digest& request,
                                                        time_point now) const {
  feature_entries result;
  const auto found = features_.find(request);
  if (found == features_.end()) {
    return result;
  }
  for (const digest& feature : found->second) {
    const entry& known = entries_.at(feature);
    if (known.count.crashes > 0 && time_left(known, now) > duration::zero()) {
      result.counted.push_back(&known);
      result.most_crashes = std::max(result.most_crashes, known.count.crashes);
    }
  }
  return result;
}

duration crash_counts::refusal_left(const repeated_request& request, time_point now) const {
  duration left = refusal_left(request.request, now);
  const feature_entries features = features_of(request.request, now);
  if (features.counted.empty() ||
      (features.most_crashes < refusal_crashes && left == duration::zero())) {
    return left;
  }
  // The groups with the most crashes tell the crashing caller from others: a value of each of them
  // must have crashed targets that often in this request, too. If several values of a group have
  // the most crashes, some were only in flight, which shows as soon as they complete.
  const std::int32_t needed = std::min(features.most_crashes, refusal_crashes);
  std::map<digest, bool> group_matches;
  for (const entry* known : features.counted) {
    if (known->count.crashes == features.most_crashes &&
        !group_matches.try_emplace(known->count.group, false).second) {
      return duration::zero();
    }
  }
  for (const entry* known : features.counted) {
    const auto group = group_matches.find(known->count.group);
    const request_feature feature{known->count.request, known->count.group};
    const bool has_feature = std::find(request.features.begin(), request.features.end(), feature) !=
                             request.features.end();
    if (group != group_matches.end() && has_feature && known->count.crashes >= needed) {
      group->second = true;
      left = std::max(left, time_left(*known, now));
    }
  }
  const bool refused = std::all_of(group_matches.begin(), group_matches.end(),
                                   [](const auto& group) { return group.second; });
  return refused ? left : duration::zero();
}

bool crash_counts::is_suspected(const digest& request) const {
  return entries_.contains(request) || features_.contains(request);
}

std::vector<crash_count> crash_counts::counts(const repeated_request& request) const {
  std::vector<crash_count> result{count(request.request)};
  if (is_suspected(request.request)) {
    for (const request_feature& feature : request.features) {
      crash_count known = count(feature.id);
      known.base = request.request;
      known.group = feature.group;
      result.push_back(known);
    }
  }
  return result;
}

std::vector<crash_count> crash_counts::all_of(const digest& request) const {
  std::vector<crash_count> result;
  if (entries_.contains(request)) {
    result.push_back(count(request));
  }
  const auto found = features_.find(request);
  if (found != features_.end()) {
    for (const digest& feature : found->second) {
      result.push_back(count(feature));
    }
  }
  return result;
}

bool crash_counts::is_refused(const digest& request, time_point now) const {
  return refusal_left(request, now) > duration::zero() ||
         features_of(request, now).most_crashes >= refusal_crashes;
}

void crash_counts::expire(time_point now) {
  const std::size_t removed = std::erase_if(
      entries_, [&](const auto& item) { return now - item.second.changed_at >= limits_.age; });
  if (removed > 0) {
    index_features();
  }
  std::erase_if(completions_,
                [&](const auto& item) { return now - item.second >= limits_.completion_memory; });
}

void crash_counts::index_features() {
  features_.clear();
  for (const auto& [id, known] : entries_) {
    if (!known.count.base.empty()) {
      features_[known.count.base].insert(id);
    }
  }
}

std::vector<crash_count> crash_counts::all() const {
  std::vector<crash_count> counts;
  for (const auto& [request, known] : entries_) {
    counts.push_back(known.count);
  }
  return counts;
}

std::size_t crash_counts::refused(time_point now) const {
  std::set<digest> requests;
  for (const auto& [id, known] : entries_) {
    requests.insert(known.count.base.empty() ? id : known.count.base);
  }
  return static_cast<std::size_t>(
      std::count_if(requests.begin(), requests.end(),
                    [&](const digest& request) { return is_refused(request, now); }));
}

void crash_counts::remove_oldest() {
  entries_.erase(
      std::min_element(entries_.begin(), entries_.end(), [](const auto& left, const auto& right) {
        return left.second.changed_at < right.second.changed_at;
      }));
  index_features();
}

}  // namespace crocusdoor

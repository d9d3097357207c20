#include "mesh/upstream_pool.h"

#include <algorithm>
#include <cmath>

namespace crocusdoor {

namespace {

/// Expected service time of an upstream that has not reported one yet.
constexpr double unknown_service_ms = 80;
/// Charge for crossing zones: the way there and back, and the price of the bytes.
constexpr double cross_zone_ms = 30;
/// Weight of the newest attempt in the share of failures.
constexpr double failure_weight = 0.1;
/// A failed attempt costs the caller about this many service times.
constexpr double failure_cost = 4;
/// An upstream that warms up takes about this many times as long.
constexpr double cold_factor = 2;
/// Estimates within this factor count as equal and are chosen from at random, so that daemons which
/// hold the same reports do not all send to the same upstream.
constexpr double equal_within = 1.1;
/// Failures fade in the absence of attempts, so that a recovered upstream is tried again.
constexpr duration failure_half_life = std::chrono::seconds(3);

}  // namespace

void upstream_pool::set_upstream(const mesh_upstream& one) {
  state& held = upstreams_[one.instance];
  held.upstream = one;
  if (held.load.slots == 0) {
    held.load.slots = one.slots;
  }
}

void upstream_pool::remove(const instance_name& instance) {
  upstreams_.erase(instance);
}

void upstream_pool::set_silent(const instance_name& instance, bool silent) {
  const auto found = upstreams_.find(instance);
  if (found != upstreams_.end()) {
    found->second.silent = silent;
  }
}

double upstream_pool::expected_ms(const state& one, time_point now) const {
  const double service_ms = one.load.service_time_us > 0
                                ? static_cast<double>(one.load.service_time_us) / 1'000.0
                                : unknown_service_ms;
  const double speed = now < one.upstream.warm_at ? cold_factor : 1.0;
  const double slots = std::max(one.upstream.slots, 1);
  const double busy = one.load.slots_in_use + one.load.queued + one.sent_since_report;
  const double excess = std::max(0.0, busy + 1 - slots);
  // A nearly full upstream is slower, and the report may be older than the requests of others.
  const double fullness = std::min(1.0, busy / slots);
  const double wait_ms = service_ms * (excess / slots + 0.5 * std::pow(fullness, 4));
  const double zone_ms = one.upstream.domain == own_domain_ ? 0.0 : cross_zone_ms;
  return (service_ms * speed + wait_ms) * (1 + failure_cost * one.failure_share) + zone_ms;
}

std::optional<instance_name> upstream_pool::choose(const service_name& service,
                                                   const std::vector<instance_name>& tried,
                                                   time_point now, random_source& random) {
  std::vector<std::pair<double, const state*>> candidates;
  for (const auto& [name, one] : upstreams_) {
    const bool usable = one.upstream.service == service && one.upstream.takes_requests &&
                        !one.silent && std::find(tried.begin(), tried.end(), name) == tried.end();
    if (usable) {
      candidates.emplace_back(expected_ms(one, now), &one);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto by_estimate = [](const auto& left, const auto& right) {
    return left.first < right.first;
  };
  const double best = std::min_element(candidates.begin(), candidates.end(), by_estimate)->first;
  std::erase_if(candidates, [&](const auto& one) { return one.first > best * equal_within; });
  return candidates[random.index(candidates.size())].second->upstream.instance;
}

void upstream_pool::attempt_started(const instance_name& instance) {
  const auto found = upstreams_.find(instance);
  if (found != upstreams_.end()) {
    ++found->second.outstanding;
    ++found->second.sent_since_report;
  }
}

void upstream_pool::attempt_ended(const instance_name& instance, attempt_quality quality,
                                  time_point) {
  const auto found = upstreams_.find(instance);
  if (found == upstreams_.end()) {
    return;
  }
  state& one = found->second;
  one.outstanding = std::max(0, one.outstanding - 1);
  one.sent_since_report = std::min(one.sent_since_report, one.outstanding);
  if (quality != attempt_quality::refused) {
    const double outcome = quality == attempt_quality::failed ? 1.0 : 0.0;
    one.failure_share += failure_weight * (outcome - one.failure_share);
  }
}

void upstream_pool::load_reported(const instance_name& instance, const load_report& load,
                                  time_point now) {
  const auto found = upstreams_.find(instance);
  if (found == upstreams_.end()) {
    return;
  }
  state& one = found->second;
  if (one.reported_at != time_point{}) {
    const double quiet = std::chrono::duration<double>(now - one.reported_at) /
                         std::chrono::duration<double>(failure_half_life);
    one.failure_share *= std::exp2(-quiet);
  }
  one.load = load;
  one.reported_at = now;
  one.sent_since_report = 0;
}

std::size_t upstream_pool::available(const service_name& service) const {
  return static_cast<std::size_t>(
      std::count_if(upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
        const state& one = entry.second;
        return one.upstream.service == service && one.upstream.takes_requests && !one.silent;
      }));
}

}  // namespace crocusdoor

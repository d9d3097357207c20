#include "mesh/upstream_pool.h"

#include <algorithm>
#include <cmath>

namespace crocusdoor {

namespace {

/// Expected service time of an upstream that has not reported one yet.
constexpr double unknown_service_ms = 80;
/// An upstream that warms up takes about this many times as long.
constexpr double cold_factor = 2;
/// A full upstream takes this much longer for each request.
constexpr double slowdown_when_full = 0.5;

// Costs are shares of what a request is worth.

/// Price of the bytes of a request that crosses zones.
constexpr double cross_zone_cost = 0.1;
/// Cost of an answer that is expected exactly at the objective: about half of them miss it, and a
/// late one has lost most of its worth. Service times have a long tail, so a few miss it earlier.
constexpr double cost_at_objective = 0.35;
constexpr double lateness_exponent = 4;
/// Prefers the faster one of two upstreams that both meet the objective.
constexpr double speed_cost = 0.02;
/// Beyond this multiple of the objective an answer is not worth less.
constexpr double worst_lateness = 1.5;
/// A failure loses the request, or most of its time.
constexpr double failure_cost = 0.8;
/// Costs this close count as equal and are chosen from at random, so that daemons which hold the
/// same reports do not all send to the same upstream.
constexpr double equal_within = 0.01;

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

double upstream_pool::expected_ms(const state& one, time_point now) {
  const double reported_ms = one.load.service_time_us > 0
                                 ? static_cast<double>(one.load.service_time_us) / 1'000.0
                                 : unknown_service_ms;
  const double slots = std::max(one.upstream.slots, 1);
  const double busy = one.load.slots_in_use + one.load.queued + one.sent_since_report;
  const double fullness = std::min(1.0, busy / slots);
  const double service_ms = reported_ms * (now < one.upstream.warm_at ? cold_factor : 1.0) *
                            (1 + slowdown_when_full * std::pow(fullness, lateness_exponent));
  return service_ms * (1 + std::max(0.0, busy + 1 - slots) / slots);
}

double upstream_pool::cost(const state& one, duration objective, time_point now) const {
  const double objective_ms =
      std::max(1.0, std::chrono::duration<double, std::milli>(objective).count());
  const double lateness = std::min(worst_lateness, expected_ms(one, now) / objective_ms);
  const double failures = std::max(one.failures.value(now), one.load.failed_percent / 100.0);
  const bool crosses_zones = one.upstream.domain != own_domain_;
  return cost_at_objective * std::pow(lateness, lateness_exponent) + speed_cost * lateness +
         failure_cost * failures + (crosses_zones ? cross_zone_cost : 0.0);
}

std::optional<instance_name> upstream_pool::choose(const placement_request& request, time_point now,
                                                   random_source& random) {
  std::vector<std::pair<double, const state*>> candidates;
  for (const auto& [name, one] : upstreams_) {
    const bool usable =
        one.upstream.service == request.service && one.upstream.takes_requests && !one.silent &&
        std::find(request.tried.begin(), request.tried.end(), name) == request.tried.end();
    if (usable) {
      candidates.emplace_back(cost(one, request.objective, now), &one);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto by_cost = [](const auto& left, const auto& right) { return left.first < right.first; };
  const double least = std::min_element(candidates.begin(), candidates.end(), by_cost)->first;
  std::erase_if(candidates, [&](const auto& one) { return one.first > least + equal_within; });
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
                                  time_point now) {
  const auto found = upstreams_.find(instance);
  if (found == upstreams_.end()) {
    return;
  }
  state& one = found->second;
  one.outstanding = std::max(0, one.outstanding - 1);
  one.sent_since_report = std::min(one.sent_since_report, one.outstanding);
  if (quality != attempt_quality::refused) {
    one.failures.record(quality == attempt_quality::failed, now);
  }
}

void upstream_pool::load_reported(const instance_name& instance, const load_report& load) {
  const auto found = upstreams_.find(instance);
  if (found == upstreams_.end()) {
    return;
  }
  state& one = found->second;
  one.load = load;
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

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

/// Price of a kilobyte that crosses zones. The largest requests are worth more, too, so their price
/// has a limit.
constexpr double cross_zone_cost_per_kb = 0.04;
constexpr double cross_zone_cost_limit = 0.1;
/// Headers of a request and its answer, which no size of a body includes.
constexpr double header_bytes = 600;
constexpr double bytes_per_kb = 1'000;
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
/// An older report does not justify a refusal.
constexpr duration report_validity = std::chrono::milliseconds(700);

duration from_ms(double value) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

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

/// Expected wait for a slot: what the upstream reports for the rank, and the own requests that it
/// has not reported yet.
double upstream_pool::wait_ms(const state& one, std::int32_t rank) {
  const std::int32_t slots = std::max(one.upstream.slots, 1);
  const std::int32_t busy = one.load.slots_in_use + one.load.queued + one.sent_since_report;
  if (busy < slots) {
    return 0;
  }
  double reported_ms = 0;
  if (!one.load.wait_ms.empty()) {
    const auto last = one.load.wait_ms.size() - 1;
    reported_ms = one.load.wait_ms[std::min(last, static_cast<std::size_t>(std::max(rank, 0)))];
  }
  const double mean_ms = static_cast<double>(one.load.service_time_us) / 1'000.0;
  return reported_ms + mean_ms * one.sent_since_report / slots;
}

std::vector<upstream_pool::candidate> upstream_pool::candidates_for(
    const placement_request& request, time_point now) const {
  std::vector<candidate> candidates;
  double total_ms = 0;
  for (const auto& [name, one] : upstreams_) {
    const bool usable =
        one.upstream.service == request.service && one.upstream.takes_requests && !one.silent &&
        std::find(request.tried.begin(), request.tried.end(), name) == request.tried.end();
    if (usable) {
      const double reported_ms = static_cast<double>(one.load.service_time_us) / 1'000.0;
      candidates.push_back({&one, reported_ms > 0 ? reported_ms : unknown_service_ms, 0, 0});
      total_ms += candidates.back().expected_ms;
    }
  }
  const duration known = history_.known_mean(request.work_class);
  const double mean_ms = total_ms / std::max<double>(1.0, static_cast<double>(candidates.size()));
  const double class_ms =
      known > duration::zero() ? std::chrono::duration<double, std::milli>(known).count() : mean_ms;
  // A short request costs the others little, so it may come late rather than not at all: mostly a
  // running request waits for it, whose work would be wasted.
  const bool is_short = known > duration::zero() && class_ms < mean_ms;
  const duration limit =
      is_short ? std::max(request.objective, request.deadline) : request.objective;
  for (candidate& one : candidates) {
    one.limit_ms = std::chrono::duration<double, std::milli>(limit).count();
    const state& upstream = *one.upstream;
    const double speed = one.expected_ms / mean_ms;
    const double busy =
        upstream.load.slots_in_use + upstream.load.queued + upstream.sent_since_report;
    const double fullness = std::min(1.0, busy / std::max(upstream.upstream.slots, 1));
    const double cold = now < upstream.upstream.warm_at ? cold_factor : 1.0;
    one.expected_ms =
        class_ms * speed * cold * (1 + slowdown_when_full * std::pow(fullness, lateness_exponent)) +
        wait_ms(upstream, request.rank);
    one.cost = cost(one, request, now);
  }
  return candidates;
}

double upstream_pool::crossing_cost(const std::string& work_class) const {
  const double body_bytes = sizes_.mean_bytes(work_class);
  if (body_bytes == 0) {
    return cross_zone_cost_limit;
  }
  return std::min(cross_zone_cost_limit,
                  cross_zone_cost_per_kb * (body_bytes + header_bytes) / bytes_per_kb);
}

double upstream_pool::cost(const candidate& one, const placement_request& request,
                           time_point now) const {
  const double objective_ms =
      std::max(1.0, std::chrono::duration<double, std::milli>(request.objective).count());
  const double lateness = std::min(worst_lateness, one.expected_ms / objective_ms);
  const double failures =
      std::max(one.upstream->failures.value(now), one.upstream->load.failed_percent / 100.0);
  const bool crosses_zones = one.upstream->upstream.domain != own_domain_;
  return cost_at_objective * std::pow(lateness, lateness_exponent) + speed_cost * lateness +
         failure_cost * failures + (crosses_zones ? crossing_cost(request.work_class) : 0.0);
}

bool upstream_pool::may_answer_in_time(const candidate& one, time_point now) {
  const state& upstream = *one.upstream;
  const bool stale = now - upstream.reported_at > report_validity;
  const bool has_room =
      upstream.load.slots_in_use + upstream.load.queued < std::max(upstream.upstream.slots, 1);
  return stale || has_room || one.expected_ms <= one.limit_ms;
}

placement upstream_pool::choose(const placement_request& request, time_point now,
                                random_source& random) {
  std::vector<candidate> candidates = candidates_for(request, now);
  if (candidates.empty()) {
    return {};
  }
  const auto by_time = [](const candidate& left, const candidate& right) {
    return left.expected_ms < right.expected_ms;
  };
  const double soonest_ms =
      std::min_element(candidates.begin(), candidates.end(), by_time)->expected_ms;
  std::erase_if(candidates, [&](const candidate& one) { return !may_answer_in_time(one, now); });
  if (candidates.empty()) {
    const duration answered = from_ms(soonest_ms);
    return {std::nullopt, true, answered - request.objective, answered};
  }
  const auto by_cost = [](const candidate& left, const candidate& right) {
    return left.cost < right.cost;
  };
  const double least = std::min_element(candidates.begin(), candidates.end(), by_cost)->cost;
  std::erase_if(candidates, [&](const candidate& one) { return one.cost > least + equal_within; });
  const candidate& chosen = candidates[random.index(candidates.size())];
  return {chosen.upstream->upstream.instance, false, {}, from_ms(chosen.expected_ms)};
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

void upstream_pool::load_reported(const instance_name& instance, const load_report& load,
                                  time_point now) {
  const auto found = upstreams_.find(instance);
  if (found == upstreams_.end()) {
    return;
  }
  state& one = found->second;
  one.load = load;
  one.reported_at = now;
  one.sent_since_report = 0;
}

void upstream_pool::service_time_measured(const std::string& work_class, duration time) {
  history_.record(*history_.class_of(work_class), time);
}

void upstream_pool::size_measured(const std::string& work_class, std::size_t bytes) {
  sizes_.record(work_class, bytes);
}

std::size_t upstream_pool::available(const service_name& service) const {
  return static_cast<std::size_t>(
      std::count_if(upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
        const state& one = entry.second;
        return one.upstream.service == service && one.upstream.takes_requests && !one.silent;
      }));
}

}  // namespace crocusdoor

#include "mesh/upstream_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "core/rendezvous_hash.h"

namespace crocusdoor {

namespace {

/// Assumed service time of an upstream that has not reported one yet.
constexpr double default_service_time_ms = 80;
/// Factor on the service time of an upstream that is warming up.
constexpr double cold_factor = 2;
/// Relative increase of the service time of an upstream that is full.
constexpr double slowdown_when_full = 0.5;

// Costs are fractions of the value of a request.

/// Cost of a kilobyte that crosses zones. The largest requests have a higher value, too, so the
/// cost has an upper limit.
constexpr double cross_zone_cost_per_kb = 0.04;
constexpr double cross_zone_cost_limit = 0.1;
/// Size of the headers of a request and its response, which the body sizes do not include.
constexpr double header_bytes = 600;
constexpr double bytes_per_kb = 1'000;
/// Cost of a response that is expected exactly at the objective: about half of these responses miss
/// it, and a late one has lost most of its value. Service times have a long tail, so a few
/// responses that are expected earlier miss it as well.
constexpr double cost_at_objective = 0.35;
constexpr double lateness_exponent = 4;
/// Makes the faster of two upstreams that both meet the objective the preferred one.
constexpr double speed_cost = 0.02;
/// Beyond this multiple of the objective the value of a response does not decrease further.
constexpr double lateness_limit = 1.5;
/// A failure loses the request, or uses up most of its time.
constexpr double failure_cost = 0.8;
/// Costs that differ by no more than this count as equal. One of them is chosen at random, so that
/// daemons with the same load reports do not all send to the same upstream.
constexpr double cost_tolerance = 0.01;
/// A load report that is older than this does not justify a refusal.
constexpr duration report_validity = std::chrono::milliseconds(700);
/// Time between requests of one work class that are sent although its doubtful estimate rules out
/// every upstream.
constexpr duration probe_interval = std::chrono::seconds(1);
/// Without a change for this long, a reported service time may be wrong.
constexpr duration service_time_validity = std::chrono::seconds(1);
/// Time in which the slowness of an upstream counts half as much, while the service time that it
/// reports does not change. An upstream that gets no requests would otherwise stay slow forever.
constexpr duration slowness_half_life = std::chrono::seconds(3);

constexpr double permille_of_one = 1'000;

bool fits(const version_rule& rule, const std::string& version) {
  switch (rule.use) {
    case version_rule::kind::any:
      return true;
    case version_rule::kind::except:
      return version != rule.version;
    case version_rule::kind::only:
    case version_rule::kind::few:
      break;
  }
  return version == rule.version;
}

duration from_ms(double value) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

}  // namespace

void upstream_pool::set_upstream(const mesh_upstream& description) {
  upstream_entry& entry = upstreams_[description.instance];
  entry.description = description;
  if (entry.load.slots == 0) {
    entry.load.slots = description.slots;
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

/// Expected wait for a slot: the wait that the upstream reports for the rank, plus the time for
/// this daemon's requests that the report does not include yet.
double upstream_pool::expected_wait_ms(const upstream_entry& entry, std::int32_t rank) {
  const std::int32_t slots = std::max(entry.description.slots, 1);
  const std::int32_t busy = entry.load.slots_in_use + entry.load.queued + entry.sent_since_report;
  if (busy < slots) {
    return 0;
  }
  double reported_ms = 0;
  if (!entry.load.wait_ms.empty()) {
    const auto last = entry.load.wait_ms.size() - 1;
    reported_ms = entry.load.wait_ms[std::min(last, static_cast<std::size_t>(std::max(rank, 0)))];
  }
  const double mean_ms = static_cast<double>(entry.load.service_time_us) / 1'000.0;
  return reported_ms + mean_ms * entry.sent_since_report / slots;
}

/// Brings service times that have not changed for some time nearer to the shortest one.
void upstream_pool::age_service_times(std::vector<candidate_upstream>& candidates, time_point now) {
  double shortest_ms = std::numeric_limits<double>::max();
  for (const candidate_upstream& candidate : candidates) {
    shortest_ms = std::min(shortest_ms, candidate.expected_ms);
  }
  for (candidate_upstream& candidate : candidates) {
    const duration unchanged = now - candidate.entry->service_time_changed_at;
    if (candidate.entry->load.service_time_us == 0 || unchanged <= service_time_validity) {
      continue;
    }
    const double half_lives = std::chrono::duration<double>(unchanged - service_time_validity) /
                              std::chrono::duration<double>(slowness_half_life);
    candidate.expected_ms =
        shortest_ms + (candidate.expected_ms - shortest_ms) * std::exp2(-half_lives);
  }
}

std::vector<instance_name> upstream_pool::few_of_version(const placement_request& request,
                                                         time_point now) const {
  std::vector<instance_name> fitting;
  for (const auto& [name, entry] : upstreams_) {
    if (entry.description.service == request.service && entry.description.takes_requests &&
        now >= entry.description.warm_at && fits(request.versions, entry.description.version)) {
      fitting.push_back(name);
    }
  }
  const double part = request.versions.permille / permille_of_one;
  const auto count =
      static_cast<std::size_t>(std::ceil(static_cast<double>(fitting.size()) * part));
  return top_by_rendezvous(request.versions.version, std::move(fitting), count);
}

std::vector<upstream_pool::candidate_upstream> upstream_pool::candidates_for(
    const placement_request& request, duration class_mean, time_point now) const {
  const bool only_few = request.versions.use == version_rule::kind::few;
  const std::vector<instance_name> few =
      only_few ? few_of_version(request, now) : std::vector<instance_name>();
  std::vector<candidate_upstream> candidates;
  for (const auto& [name, entry] : upstreams_) {
    const bool usable =
        entry.description.service == request.service && entry.description.takes_requests &&
        !entry.silent && fits(request.versions, entry.description.version) &&
        (!only_few || std::find(few.begin(), few.end(), name) != few.end()) &&
        std::find(request.tried.begin(), request.tried.end(), name) == request.tried.end();
    if (usable) {
      const double reported_ms = static_cast<double>(entry.load.service_time_us) / 1'000.0;
      candidates.push_back({&entry, reported_ms > 0 ? reported_ms : default_service_time_ms, 0, 0});
    }
  }
  age_service_times(candidates, now);
  double total_ms = 0;
  for (const candidate_upstream& candidate : candidates) {
    total_ms += candidate.expected_ms;
  }
  const double mean_ms = total_ms / std::max<double>(1.0, static_cast<double>(candidates.size()));
  const double class_ms = class_mean > duration::zero()
                              ? std::chrono::duration<double, std::milli>(class_mean).count()
                              : mean_ms;
  // A short request delays the others little, so it may be answered after its objective instead of
  // being refused: usually a running request waits for it, and the work of that one would be
  // wasted.
  const bool is_short = class_mean > duration::zero() && class_ms < mean_ms;
  const duration limit =
      is_short ? std::max(request.objective, request.deadline) : request.objective;
  for (candidate_upstream& candidate : candidates) {
    candidate.limit_ms = std::chrono::duration<double, std::milli>(limit).count();
    const upstream_entry& entry = *candidate.entry;
    const double speed = candidate.expected_ms / mean_ms;
    const double busy = entry.load.slots_in_use + entry.load.queued + entry.sent_since_report;
    const double fullness = std::min(1.0, busy / std::max(entry.description.slots, 1));
    const double cold = now < entry.description.warm_at ? cold_factor : 1.0;
    candidate.expected_ms =
        class_ms * speed * cold * (1 + slowdown_when_full * std::pow(fullness, lateness_exponent)) +
        expected_wait_ms(entry, request.rank);
    candidate.cost = cost(candidate, request, now);
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

double upstream_pool::cost(const candidate_upstream& candidate, const placement_request& request,
                           time_point now) const {
  const double objective_ms =
      std::max(1.0, std::chrono::duration<double, std::milli>(request.objective).count());
  const double lateness = std::min(lateness_limit, candidate.expected_ms / objective_ms);
  const double failures =
      std::max(candidate.entry->failures.value(now), candidate.entry->load.failed_percent / 100.0);
  const bool crosses_zones = candidate.entry->description.domain != own_domain_;
  return cost_at_objective * std::pow(lateness, lateness_exponent) + speed_cost * lateness +
         failure_cost * failures + (crosses_zones ? crossing_cost(request.work_class) : 0.0);
}

bool upstream_pool::may_answer_in_time(const candidate_upstream& candidate, time_point now) {
  const upstream_entry& entry = *candidate.entry;
  const bool stale = now - entry.reported_at > report_validity;
  const bool has_room =
      entry.load.slots_in_use + entry.load.queued < std::max(entry.description.slots, 1);
  return stale || has_room || candidate.expected_ms <= candidate.limit_ms;
}

void upstream_pool::remove_late(std::vector<candidate_upstream>& candidates, time_point now) {
  std::erase_if(candidates, [&](const candidate_upstream& candidate) {
    return !may_answer_in_time(candidate, now);
  });
}

/// Upstreams that could answer if the doubtful estimate of the work class is disregarded. Empty if
/// the estimate is not doubtful, or another request has checked it recently.
std::vector<upstream_pool::candidate_upstream> upstream_pool::probe_candidates(
    const placement_request& request, time_point now) {
  service_time_estimate& estimate = *history_.estimate_of(request.work_class);
  if (estimate.samples() == 0 || !estimate.admits_probe(now)) {
    return {};
  }
  std::vector<candidate_upstream> candidates = candidates_for(request, duration::zero(), now);
  remove_late(candidates, now);
  if (!candidates.empty()) {
    estimate.defer_probes(now + probe_interval);
  }
  return candidates;
}

placement upstream_pool::choose(const placement_request& request, time_point now,
                                random_source& random) {
  const duration class_mean = history_.known_mean(request.work_class);
  std::vector<candidate_upstream> candidates = candidates_for(request, class_mean, now);
  if (candidates.empty() && request.versions.otherwise_any) {
    placement_request unrestricted = request;
    unrestricted.versions = {};
    candidates = candidates_for(unrestricted, class_mean, now);
  }
  if (candidates.empty()) {
    return {};
  }
  const auto by_time = [](const candidate_upstream& left, const candidate_upstream& right) {
    return left.expected_ms < right.expected_ms;
  };
  const double shortest_ms =
      std::min_element(candidates.begin(), candidates.end(), by_time)->expected_ms;
  remove_late(candidates, now);
  if (candidates.empty()) {
    candidates = probe_candidates(request, now);
  }
  if (candidates.empty()) {
    const duration shortest = from_ms(shortest_ms);
    return {std::nullopt, true, shortest - request.objective, shortest};
  }
  const auto by_cost = [](const candidate_upstream& left, const candidate_upstream& right) {
    return left.cost < right.cost;
  };
  const double lowest_cost = std::min_element(candidates.begin(), candidates.end(), by_cost)->cost;
  std::erase_if(candidates, [&](const candidate_upstream& candidate) {
    return candidate.cost > lowest_cost + cost_tolerance;
  });
  const candidate_upstream& chosen = candidates[random.index(candidates.size())];
  return {chosen.entry->description.instance, false, {}, from_ms(chosen.expected_ms)};
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
  upstream_entry& entry = found->second;
  entry.outstanding = std::max(0, entry.outstanding - 1);
  entry.sent_since_report = std::min(entry.sent_since_report, entry.outstanding);
  if (quality != attempt_quality::refused) {
    entry.failures.record(quality == attempt_quality::failed, now);
  }
}

void upstream_pool::load_reported(const instance_name& instance, const load_report& load,
                                  time_point now) {
  const auto found = upstreams_.find(instance);
  if (found == upstreams_.end()) {
    return;
  }
  upstream_entry& entry = found->second;
  if (entry.load.service_time_us != load.service_time_us) {
    entry.service_time_changed_at = now;
  }
  entry.load = load;
  entry.reported_at = now;
  entry.sent_since_report = 0;
}

void upstream_pool::service_time_measured(const std::string& work_class, duration time,
                                          time_point now) {
  service_time_estimate& estimate = *history_.estimate_of(work_class);
  // Other faster samples of a class with few requests are usual and say little about its mean.
  const bool probed = !estimate.admits_probe(now);
  if (probed && estimate.is_old(now) && time < estimate.mean()) {
    estimate = {};
  }
  history_.record(estimate, time, now);
}

void upstream_pool::size_measured(const std::string& work_class, std::size_t bytes) {
  sizes_.record(work_class, bytes);
}

const mesh_upstream* upstream_pool::find(const instance_name& instance) const {
  const auto found = upstreams_.find(instance);
  return found == upstreams_.end() ? nullptr : &found->second.description;
}

std::int32_t upstream_pool::warm_slots(const service_name& service, const std::string& version,
                                       bool others, time_point now) const {
  std::int32_t slots = 0;
  for (const auto& [name, entry] : upstreams_) {
    const mesh_upstream& upstream = entry.description;
    if (upstream.service == service && upstream.takes_requests && !entry.silent &&
        now >= upstream.warm_at && (upstream.version == version) != others) {
      slots += upstream.slots;
    }
  }
  return slots;
}

std::size_t upstream_pool::available(const service_name& service) const {
  return static_cast<std::size_t>(
      std::count_if(upstreams_.begin(), upstreams_.end(), [&](const auto& named_entry) {
        const upstream_entry& entry = named_entry.second;
        return entry.description.service == service && entry.description.takes_requests &&
               !entry.silent;
      }));
}

}  // namespace crocusdoor

#include "routing/upstream_selector.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "routing/upstream_subset.h"

namespace crocusdoor {

namespace {

// Above this share of slots in use a target is likely to have none free when a hedge arrives.
constexpr double spare_share = 0.8;

// With one usable upstream in a zone there is no choice between two.
constexpr std::size_t least_choice = 2;

bool contains(const std::vector<instance_name>& names, const instance_name& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

upstream_selector::upstream_selector(caller_location caller, selection_policy policy)
    : caller_(std::move(caller)), policy_(std::move(policy)) {}

void upstream_selector::set_upstreams(const service_name& service, std::vector<upstream> upstreams,
                                      time_point /*now*/, const connection_limits& limits) {
  const std::size_t size = subset_size(upstreams.size(), limits);
  std::vector<member> replaced = std::move(services_[service].members);
  std::vector<member> members;
  for (upstream& one : choose_subset(std::move(upstreams), caller_, size)) {
    const auto known = std::find_if(replaced.begin(), replaced.end(), [&](const member& old) {
      return old.description.instance == one.instance;
    });
    member next = known != replaced.end() ? std::move(*known) : member{};
    next.zone_distance = one.domain == caller_.domain ? 0 : one.region == caller_.region ? 1 : 2;
    next.description = std::move(one);
    members.push_back(std::move(next));
  }
  std::erase_if(service_of_, [&](const auto& entry) { return entry.second == service; });
  for (const member& one : members) {
    service_of_[one.description.instance] = service;
  }
  services_[service].members = std::move(members);
  if (services_[service].members.empty()) {
    services_.erase(service);
  }
}

std::optional<instance_name> upstream_selector::choose(const service_name& service, time_point now,
                                                       random_source& random,
                                                       const std::vector<instance_name>& excluded) {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return std::nullopt;
  }
  service_members& members = found->second;
  ++members.turn;
  update_slow(members, now);
  if (const member* probed = due_probe(members, now, excluded); probed != nullptr) {
    return probed->description.instance;
  }
  const auto groups = group_candidates(members, now, excluded);
  if (groups.empty()) {
    return std::nullopt;
  }
  return members.members[pick(members, now, random, groups)].description.instance;
}

void upstream_selector::request_sent(const instance_name& instance, time_point now) {
  if (member* const one = find_member(instance); one != nullptr) {
    one->tracker.request_sent(now);
  }
}

void upstream_selector::request_ended(const instance_name& instance, time_point now,
                                      duration latency, verdict outcome,
                                      const std::optional<load_report>& report) {
  member* const one = find_member(instance);
  if (one == nullptr) {
    return;
  }
  one->tracker.request_ended(now, latency, outcome, report);
  if (!one->slow || outcome != verdict::ran) {
    return;
  }
  const service_members& service = services_.at(service_of_.at(instance));
  if (policy_.slow_target->has_recovered({.current = latency,
                                          .usual = one->tracker.usual_latency(),
                                          .peers = peer_latency(service, now)})) {
    one->slow = false;
    one->recovered_at = now;
    one->tracker.recover(latency);
  }
}

void upstream_selector::connection_failed(const instance_name& instance, time_point now) {
  if (member* const one = find_member(instance); one != nullptr) {
    one->tracker.connection_failed(now);
  }
}

bool upstream_selector::hedge_can_help(const instance_name& instance, time_point sent_at,
                                       time_point now) const {
  const member* const sent_to = find_member(instance);
  if (sent_to == nullptr || sent_to->tracker.overtaken(sent_at)) {
    return false;
  }
  const service_members& service = services_.at(service_of_.at(instance));
  const others_by_distance others = expected_others(service, now);
  return std::any_of(service.members.begin(), service.members.end(), [&](const member& one) {
    return &one != sent_to && !one.slow && !one.tracker.unreachable(now) &&
           one.tracker.estimated_load(now, others[static_cast<std::size_t>(one.zone_distance)]) <
               spare_share * one.description.slots;
  });
}

std::vector<upstream_state> upstream_selector::upstream_states(time_point now) const {
  std::vector<upstream_state> result;
  for (const auto& [name, service] : services_) {
    const others_by_distance others = expected_others(service, now);
    for (const member& one : service.members) {
      result.push_back({.service = name,
                        .instance = one.description.instance,
                        .weight = one.slow ? 0 : weight(one, now),
                        .latency = one.tracker.latency(now),
                        .in_flight = static_cast<std::int32_t>(one.tracker.in_flight()),
                        .estimated_load = one.tracker.estimated_load(
                            now, others[static_cast<std::size_t>(one.zone_distance)]),
                        .slow = one.slow,
                        .unreachable = one.tracker.unreachable(now)});
    }
  }
  std::sort(result.begin(), result.end(), [](const auto& first, const auto& second) {
    return std::tie(first.service, first.instance) < std::tie(second.service, second.instance);
  });
  return result;
}

const upstream_selector::member* upstream_selector::find_member(
    const instance_name& instance) const {
  const auto found = service_of_.find(instance);
  if (found == service_of_.end()) {
    return nullptr;
  }
  const auto& members = services_.at(found->second).members;
  return &*std::find_if(members.begin(), members.end(),
                        [&](const member& one) { return one.description.instance == instance; });
}

upstream_selector::member* upstream_selector::find_member(const instance_name& instance) {
  return const_cast<member*>(std::as_const(*this).find_member(instance));
}

double upstream_selector::weight(const member& one, time_point now) const {
  double result = policy_.ramp->weight(now - one.description.ready_since, policy_.cold_ramp);
  if (one.recovered_at.has_value()) {
    result = std::min(result, policy_.ramp->weight(now - *one.recovered_at, policy_.return_ramp));
  }
  if (const auto reachable = one.tracker.reachable_since(); reachable.has_value()) {
    result = std::min(result, policy_.ramp->weight(now - *reachable, policy_.return_ramp));
  }
  return result;
}

// Lower median of the upstreams that have answered, so that with two upstreams the faster counts.
duration upstream_selector::peer_latency(const service_members& service, time_point now) {
  std::vector<duration> latencies;
  for (const member& one : service.members) {
    if (one.tracker.answers() > 0) {
      latencies.push_back(one.tracker.latency(now));
    }
  }
  if (latencies.empty()) {
    return duration(0);
  }
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

// Mean reported load of all upstreams, newer reports counting more. For a distance without recent
// reports it falls to zero, so that a zone that was full is tried again, and one that was never
// called is not taken to be as full as the own zone.
upstream_selector::others_by_distance upstream_selector::expected_others(
    const service_members& service, time_point now) {
  constexpr double recent_weight = 0.2;
  others_by_distance weights{};
  double load = 0;
  double total_weight = 0;
  for (const member& one : service.members) {
    const double weight = one.tracker.report_weight(now);
    weights[static_cast<std::size_t>(one.zone_distance)] += weight;
    load += weight * one.tracker.others_load();
    total_weight += weight;
  }
  others_by_distance result{};
  for (std::size_t distance = 0; distance < result.size(); ++distance) {
    const double recent = std::min(1.0, weights[distance] / recent_weight);
    result[distance] = total_weight > 0 ? recent * load / total_weight : 0;
  }
  return result;
}

void upstream_selector::update_slow(service_members& service, time_point now) const {
  const duration peers = peer_latency(service, now);
  auto avoided = std::count_if(service.members.begin(), service.members.end(),
                               [](const member& one) { return one.slow; });
  const auto limit = static_cast<std::ptrdiff_t>(service.members.size() / 2);
  for (member& one : service.members) {
    const latency_comparison latencies{
        .current = one.tracker.latency(now), .usual = one.tracker.usual_latency(), .peers = peers};
    if (one.slow || avoided >= limit || !policy_.slow_target->is_slow(latencies)) {
      continue;
    }
    ++avoided;
    one.slow = true;
    one.next_probe = now + policy_.probe_interval;
    one.tracker.freeze_usual_latency();
  }
}

upstream_selector::member* upstream_selector::due_probe(
    service_members& service, time_point now, const std::vector<instance_name>& excluded) const {
  for (member& one : service.members) {
    if (one.slow && now >= one.next_probe && !one.tracker.unreachable(now) &&
        !contains(excluded, one.description.instance)) {
      one.next_probe = now + policy_.probe_interval;
      return &one;
    }
  }
  return nullptr;
}

std::vector<upstream_selector::candidate_group> upstream_selector::group_candidates(
    const service_members& service, time_point now,
    const std::vector<instance_name>& excluded) const {
  std::map<int, candidate_group> groups;
  const others_by_distance others = expected_others(service, now);
  // Avoided upstreams are used only if nothing else is left.
  for (const bool accept_avoided : {false, true}) {
    for (std::size_t i = 0; i < service.members.size(); ++i) {
      const member& one = service.members[i];
      const bool at_limit =
          policy_.in_flight_limit > 0 && one.tracker.in_flight() >= policy_.in_flight_limit;
      const bool avoided = one.slow || one.tracker.unreachable(now) || at_limit;
      if ((avoided && !accept_avoided) || contains(excluded, one.description.instance)) {
        continue;
      }
      candidate_group& group = groups[policy_.zone->prefers_near() ? one.zone_distance : 0];
      group.members.push_back(i);
      group.candidates.push_back(
          {.weight = weight(one, now),
           .score =
               policy_.score->score({.latency = one.tracker.latency(now),
                                     .load = one.tracker.estimated_load(
                                         now, others[static_cast<std::size_t>(one.zone_distance)]),
                                     .slots = one.description.slots})});
    }
    if (!groups.empty()) {
      break;
    }
  }
  std::vector<candidate_group> result;
  for (auto& [distance, group] : groups) {
    if (!result.empty() && result.back().members.size() < least_choice) {
      candidate_group& nearer = result.back();
      nearer.members.insert(nearer.members.end(), group.members.begin(), group.members.end());
      nearer.candidates.insert(nearer.candidates.end(), group.candidates.begin(),
                               group.candidates.end());
    } else {
      result.push_back(std::move(group));
    }
  }
  return result;
}

std::size_t upstream_selector::pick(service_members& service, time_point now, random_source& random,
                                    const std::vector<candidate_group>& groups) const {
  const candidate_group& near = groups.front();
  const std::size_t inside = policy_.choice->pick(near.candidates, service.turn, random);
  if (groups.size() == 1) {
    return near.members[inside];
  }
  const candidate_group& far = groups[1];
  const std::size_t outside = policy_.choice->pick(far.candidates, service.turn, random);
  const bool spilling = now < service.spilling_until;
  if (!policy_.zone->leaves_zone(near.candidates[inside].score, far.candidates[outside].score,
                                 spilling)) {
    return near.members[inside];
  }
  service.spilling_until = now + policy_.spill_hold;
  return far.members[outside];
}

}  // namespace crocusdoor

#include "routing/upstream_selector.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "routing/upstream_subset.h"

namespace crocusdoor {

namespace {

// A target with a larger share of its slots in use is likely to have none free when a hedge
// arrives.
constexpr double hedge_utilization_limit = 0.8;

// Smallest group of candidates by distance: with one usable upstream in a zone there is no choice
// between two.
constexpr std::size_t minimum_group_size = 2;

bool contains(const std::vector<instance_name>& names, const instance_name& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

upstream_selector::upstream_selector(caller_location caller, selection_policy policy)
    : caller_(std::move(caller)), policy_(std::move(policy)) {}

void upstream_selector::set_upstreams(const service_name& service, std::vector<upstream> upstreams,
                                      time_point /*now*/, const connection_limits& limits) {
  const std::size_t size = subset_size(upstreams.size(), limits);
  std::vector<upstream_member> replaced = std::move(services_[service].members);
  std::vector<upstream_member> members;
  for (upstream& description : choose_subset(std::move(upstreams), caller_, size)) {
    const auto previous =
        std::find_if(replaced.begin(), replaced.end(), [&](const upstream_member& old) {
          return old.description.instance == description.instance;
        });
    upstream_member member = previous != replaced.end() ? std::move(*previous) : upstream_member{};
    member.zone_distance = description.domain == caller_.domain   ? 0
                           : description.region == caller_.region ? 1
                                                                  : 2;
    member.description = std::move(description);
    members.push_back(std::move(member));
  }
  std::erase_if(service_of_, [&](const auto& entry) { return entry.second == service; });
  for (const upstream_member& member : members) {
    service_of_[member.description.instance] = service;
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
  ++members.call_number;
  update_slow(members, now);
  if (const upstream_member* probed = due_probe(members, now, excluded); probed != nullptr) {
    return probed->description.instance;
  }
  const auto groups = group_candidates(members, now, excluded);
  if (groups.empty()) {
    return std::nullopt;
  }
  return members.members[pick(members, now, random, groups)].description.instance;
}

void upstream_selector::request_sent(const instance_name& instance, time_point now) {
  if (upstream_member* const member = find_member(instance); member != nullptr) {
    member->tracker.request_sent(now);
  }
}

void upstream_selector::request_ended(const instance_name& instance, time_point now,
                                      duration latency, verdict outcome,
                                      const std::optional<load_report>& report) {
  upstream_member* const member = find_member(instance);
  if (member == nullptr) {
    return;
  }
  member->tracker.request_ended(now, latency, outcome, report);
  if (!member->slow || outcome != verdict::ran) {
    return;
  }
  const service_members& service = services_.at(service_of_.at(instance));
  if (policy_.slow_target->has_recovered({.current = latency,
                                          .usual = member->tracker.usual_latency(),
                                          .peers = peer_latency(service, now)})) {
    member->slow = false;
    member->recovered_at = now;
    member->tracker.recover(latency);
  }
}

void upstream_selector::connection_failed(const instance_name& instance, time_point now) {
  if (upstream_member* const member = find_member(instance); member != nullptr) {
    member->tracker.connection_failed(now);
  }
}

bool upstream_selector::hedge_can_help(const instance_name& instance, time_point sent_at,
                                       time_point now) const {
  const upstream_member* const sent_to = find_member(instance);
  if (sent_to == nullptr || sent_to->tracker.overtaken(sent_at)) {
    return false;
  }
  const service_members& service = services_.at(service_of_.at(instance));
  const load_by_distance other_load = expected_other_load(service, now);
  return std::any_of(
      service.members.begin(), service.members.end(), [&](const upstream_member& member) {
        return &member != sent_to && !member.slow && !member.tracker.unreachable(now) &&
               member.tracker.estimated_load(
                   now, other_load[static_cast<std::size_t>(member.zone_distance)]) <
                   hedge_utilization_limit * member.description.slots;
      });
}

std::vector<upstream_state> upstream_selector::upstream_states(time_point now) const {
  std::vector<upstream_state> result;
  for (const auto& [name, service] : services_) {
    const load_by_distance other_load = expected_other_load(service, now);
    for (const upstream_member& member : service.members) {
      result.push_back({.service = name,
                        .instance = member.description.instance,
                        .weight = member.slow ? 0 : weight(member, now),
                        .latency = member.tracker.latency(now),
                        .in_flight = static_cast<std::int32_t>(member.tracker.in_flight()),
                        .estimated_load = member.tracker.estimated_load(
                            now, other_load[static_cast<std::size_t>(member.zone_distance)]),
                        .slow = member.slow,
                        .unreachable = member.tracker.unreachable(now)});
    }
  }
  std::sort(result.begin(), result.end(), [](const auto& first, const auto& second) {
    return std::tie(first.service, first.instance) < std::tie(second.service, second.instance);
  });
  return result;
}

const upstream_selector::upstream_member* upstream_selector::find_member(
    const instance_name& instance) const {
  const auto found = service_of_.find(instance);
  if (found == service_of_.end()) {
    return nullptr;
  }
  const auto& members = services_.at(found->second).members;
  return &*std::find_if(members.begin(), members.end(), [&](const upstream_member& member) {
    return member.description.instance == instance;
  });
}

upstream_selector::upstream_member* upstream_selector::find_member(const instance_name& instance) {
  return const_cast<upstream_member*>(std::as_const(*this).find_member(instance));
}

double upstream_selector::weight(const upstream_member& member, time_point now) const {
  double result = policy_.ramp->weight(now - member.description.ready_since, policy_.cold_ramp);
  if (member.recovered_at.has_value()) {
    result =
        std::min(result, policy_.ramp->weight(now - *member.recovered_at, policy_.return_ramp));
  }
  if (const auto reachable = member.tracker.reachable_since(); reachable.has_value()) {
    result = std::min(result, policy_.ramp->weight(now - *reachable, policy_.return_ramp));
  }
  return result;
}

// Lower median over the upstreams that have answered, so that of two upstreams the faster one
// counts.
duration upstream_selector::peer_latency(const service_members& service, time_point now) {
  std::vector<duration> latencies;
  for (const upstream_member& member : service.members) {
    if (member.tracker.responses() > 0) {
      latencies.push_back(member.tracker.latency(now));
    }
  }
  if (latencies.empty()) {
    return duration(0);
  }
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

// Mean of the reported load of all upstreams, weighted by the age of the reports. For a distance
// without recent reports it falls to zero, so that a zone that was full is tried again, and a zone
// that was never called is not assumed to be as full as the own zone.
upstream_selector::load_by_distance upstream_selector::expected_other_load(
    const service_members& service, time_point now) {
  constexpr double full_report_weight = 0.2;
  load_by_distance weights{};
  double load = 0;
  double total_weight = 0;
  for (const upstream_member& member : service.members) {
    const double weight = member.tracker.report_weight(now);
    weights[static_cast<std::size_t>(member.zone_distance)] += weight;
    load += weight * member.tracker.others_load();
    total_weight += weight;
  }
  load_by_distance result{};
  for (std::size_t distance = 0; distance < result.size(); ++distance) {
    const double report_share = std::min(1.0, weights[distance] / full_report_weight);
    result[distance] = total_weight > 0 ? report_share * load / total_weight : 0;
  }
  return result;
}

void upstream_selector::update_slow(service_members& service, time_point now) const {
  const duration peers = peer_latency(service, now);
  auto avoided = std::count_if(service.members.begin(), service.members.end(),
                               [](const upstream_member& member) { return member.slow; });
  const auto limit = static_cast<std::ptrdiff_t>(service.members.size() / 2);
  for (upstream_member& member : service.members) {
    const latency_comparison latencies{.current = member.tracker.latency(now),
                                       .usual = member.tracker.usual_latency(),
                                       .peers = peers};
    if (member.slow || avoided >= limit || !policy_.slow_target->is_slow(latencies)) {
      continue;
    }
    ++avoided;
    member.slow = true;
    member.next_probe = now + policy_.probe_interval;
    member.tracker.freeze_usual_latency();
  }
}

upstream_selector::upstream_member* upstream_selector::due_probe(
    service_members& service, time_point now, const std::vector<instance_name>& excluded) const {
  for (upstream_member& member : service.members) {
    if (member.slow && now >= member.next_probe && !member.tracker.unreachable(now) &&
        !contains(excluded, member.description.instance)) {
      member.next_probe = now + policy_.probe_interval;
      return &member;
    }
  }
  return nullptr;
}

std::vector<upstream_selector::candidate_group> upstream_selector::group_candidates(
    const service_members& service, time_point now,
    const std::vector<instance_name>& excluded) const {
  std::map<int, candidate_group> groups;
  const load_by_distance other_load = expected_other_load(service, now);
  // Avoided upstreams are used only if there are no other ones.
  for (const bool accept_avoided : {false, true}) {
    for (std::size_t i = 0; i < service.members.size(); ++i) {
      const upstream_member& member = service.members[i];
      const bool at_limit =
          policy_.in_flight_limit > 0 && member.tracker.in_flight() >= policy_.in_flight_limit;
      const bool avoided = member.slow || member.tracker.unreachable(now) || at_limit;
      if ((avoided && !accept_avoided) || contains(excluded, member.description.instance)) {
        continue;
      }
      candidate_group& group = groups[policy_.zone->prefers_near() ? member.zone_distance : 0];
      group.members.push_back(i);
      group.candidates.push_back(
          {.weight = weight(member, now),
           .score = policy_.score->score(
               {.latency = member.tracker.latency(now),
                .load = member.tracker.estimated_load(
                    now, other_load[static_cast<std::size_t>(member.zone_distance)]),
                .slots = member.description.slots})});
    }
    if (!groups.empty()) {
      break;
    }
  }
  std::vector<candidate_group> result;
  for (auto& [distance, group] : groups) {
    if (!result.empty() && result.back().members.size() < minimum_group_size) {
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
  const std::size_t inside = policy_.choice->pick(near.candidates, service.call_number, random);
  if (groups.size() == 1) {
    return near.members[inside];
  }
  const candidate_group& far = groups[1];
  const std::size_t outside = policy_.choice->pick(far.candidates, service.call_number, random);
  const bool spilling = now < service.spilling_until;
  if (!policy_.zone->leaves_zone(near.candidates[inside].score, far.candidates[outside].score,
                                 spilling)) {
    return near.members[inside];
  }
  service.spilling_until = now + policy_.spill_hold;
  return far.members[outside];
}

}  // namespace crocusdoor

#include "rollout/rollout_table.h"

#include <algorithm>
#include <utility>

#include "core/rendezvous_hash.h"
#include "rollout/share_plan.h"

namespace crocusdoor {

namespace {

constexpr std::string_view decider_key = "rollouts";
/// Responses of the old version from which its mean time is known.
constexpr std::uint64_t minimum_usual_times = 10;
/// Work classes that are counted for one rollout; names of routes, so far fewer are expected.
constexpr std::size_t work_class_limit = 2'000;

}  // namespace

instance_name first_decider(std::vector<instance_name> members) {
  const std::vector<instance_name> first = top_by_rendezvous(decider_key, std::move(members), 1);
  return first.empty() ? instance_name() : first.front();
}

bool rollout_table::receive(const instance_name& from, const wire::rollout_state& state,
                            time_point now) {
  service_rollout& known = rollouts_[state.service];
  const wire::rollout_state before = known.held.state;
  if (state.order < before.order) {
    return false;
  }
  if (state.order == before.order) {
    if (before.phase != wire::rollout_phase::running) {
      return false;
    }
    if (state.phase == wire::rollout_phase::running && state.valid_ms.count() == 0) {
      return false;  // Handed on by a peer that does not decide.
    }
    const bool valid = now < known.held.valid_until;
    const bool outranked = valid && from != known.held.sender &&
                           first_decider({from, known.held.sender}) == known.held.sender;
    if (outranked && state.phase == wire::rollout_phase::running) {
      return false;
    }
  } else {
    known = {};
  }
  known.held = {state, from, now + state.valid_ms, now + state.left_ms};
  known.was_full = state.permille == full_permille;
  return state.order != before.order || state.phase != before.phase;
}

const rollout_table::held_rollout* rollout_table::find(const service_name& service) const {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second.held;
}

std::vector<wire::rollout_state> rollout_table::states(time_point now) const {
  const auto left = [&](time_point end) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(end - now);
  };
  std::vector<wire::rollout_state> result;
  for (const auto& [service, known] : rollouts_) {
    wire::rollout_state state = known.held.state;
    // Only the deciding daemon grants a share. The full share is handed on for the rest of its
    // validity: the old version may stop at any time, and the store may have the end already.
    const bool full = current_permille(known.held, now) == full_permille;
    state.valid_ms = full ? std::max(left(known.held.valid_until), std::chrono::milliseconds(0))
                          : std::chrono::milliseconds(0);
    state.left_ms = left(known.held.deadline);
    result.push_back(std::move(state));
  }
  return result;
}

std::int32_t rollout_table::current_permille(const held_rollout& held, time_point now) {
  switch (held.state.phase) {
    case wire::rollout_phase::completed:
      return full_permille;
    case wire::rollout_phase::rolled_back:
      return 0;
    case wire::rollout_phase::running:
      break;
  }
  return now < held.valid_until ? held.state.permille : 0;
}

version_rule rollout_table::rule(const service_name& service, const std::string& work_class,
                                 bool first_attempt, time_point now, random_source& random) {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) {
    return {};
  }
  service_rollout& known = found->second;
  const std::string& version = known.held.state.target_version;
  const std::int32_t permille = current_permille(known.held, now);
  if (permille == full_permille) {
    return {version_rule::kind::only, version, permille, true};
  }
  const bool running = known.held.state.phase == wire::rollout_phase::running;
  if (permille > 0 && first_attempt) {
    // The first credit is random, so that the sum over many daemons with few requests is the share.
    double& credit = known.credits.try_emplace(work_class, random.fraction()).first->second;
    credit += static_cast<double>(permille) / full_permille;
    if (credit >= 1) {
      credit -= 1;
      return {version_rule::kind::few, version, permille, false};
    }
  }
  return {version_rule::kind::except, version, 0, running && known.was_full};
}

version_rule rollout_table::old_version_rule(const version_rule& rule) {
  return {version_rule::kind::except, rule.version, 0, false};
}

void rollout_table::attempt_started(const service_name& service, const std::string& version) {
  ++running_[service][version];
  const auto found = rollouts_.find(service);
  if (found != rollouts_.end() && version == found->second.held.state.target_version) {
    ++found->second.sent;
  }
}

void rollout_table::attempt_ended(const service_name& service, const std::string& version) {
  auto& versions = running_[service];
  const auto found = versions.find(version);
  if (found != versions.end() && --found->second == 0) {
    versions.erase(found);
  }
}

rollout_table::service_rollout* rollout_table::find_running(const service_name& service) {
  const auto found = rollouts_.find(service);
  const bool running =
      found != rollouts_.end() && found->second.held.state.phase == wire::rollout_phase::running;
  return running ? &found->second : nullptr;
}

bool rollout_table::is_slow(const outcome_totals& usual, duration time) {
  const std::uint64_t timed = usual.requests - std::min(usual.requests, usual.failures);
  return timed >= minimum_usual_times &&
         static_cast<double>(time.count()) * static_cast<double>(timed) >
             slow_response_factor * static_cast<double>(usual.total_time_us);
}

void rollout_table::outcome_observed(const service_name& service, const std::string& version,
                                     const std::string& work_class, bool failed, duration time,
                                     bool comparable) {
  service_rollout* known = find_running(service);
  if (known == nullptr || (!failed && !comparable) ||
      (known->outcomes.size() >= work_class_limit && !known->outcomes.contains(work_class))) {
    return;
  }
  version_outcome_pair& pair = known->outcomes[work_class];
  const bool slow = !failed && is_slow(pair.old_version, time);
  const bool is_new = version == known->held.state.target_version;
  const auto time_us = static_cast<std::uint64_t>(std::max<duration::rep>(0, time.count()));
  (is_new ? pair.new_version : pair.old_version) +=
      {1, failed ? 1U : 0U, slow ? 1U : 0U, failed ? 0 : time_us};
}

void rollout_table::attempt_abandoned(const service_name& service, const std::string& version,
                                      const std::string& work_class, bool deadline_passed,
                                      duration time) {
  service_rollout* known = find_running(service);
  if (known == nullptr) {
    return;
  }
  // The caller may have left early; that says something only if the response was late by then.
  const auto pair = known->outcomes.find(work_class);
  if (deadline_passed ||
      (pair != known->outcomes.end() && is_slow(pair->second.old_version, time))) {
    outcome_observed(service, version, work_class, true, time, true);
  }
}

wire::rollout_evidence rollout_table::evidence(const service_name& service, time_point now) const {
  wire::rollout_evidence report;
  report.service = service;
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) {
    return report;
  }
  const service_rollout& known = found->second;
  report.target_version = known.held.state.target_version;
  report.order = known.held.state.order;
  report.sent = known.sent;
  report.permille = current_permille(known.held, now);
  for (const auto& [work_class, pair] : known.outcomes) {
    for (const bool is_new : {false, true}) {
      const outcome_totals& totals = is_new ? pair.new_version : pair.old_version;
      if (totals.requests > 0) {
        report.outcomes.push_back({work_class, is_new, totals.requests, totals.failures,
                                   totals.total_time_us, totals.slow});
      }
    }
  }
  if (const auto versions = running_.find(service); versions != running_.end()) {
    for (const auto& [version, running] : versions->second) {
      (version == report.target_version ? report.running_new : report.running_old) += running;
    }
  }
  return report;
}

}  // namespace crocusdoor

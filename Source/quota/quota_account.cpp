#include "quota/quota_account.h"

#include <algorithm>
#include <cmath>

namespace crocusdoor {

namespace {

/// Least time between two reports about a part while the daemon runs short of tokens.
constexpr duration urgent_interval = std::chrono::milliseconds(50);
/// The same for a workspace while its coordinator has fewer tokens than requests wait. Requests
/// without a token are refused at once in this time, since no grant would come while they wait.
constexpr duration denied_interval = std::chrono::milliseconds(200);
/// With a grant of this many tokens, more may be had at the next report.
constexpr double least_useful_grant = 4;
/// A report before the grant for the previous one makes that grant void, so it waits this long.
constexpr duration grant_time = std::chrono::milliseconds(300);
/// Reports that arrive later than this after they were sent may have handed over a share twice.
constexpr duration longest_transit = std::chrono::milliseconds(500);
/// The average rate of requests forgets earlier ones with this time constant.
constexpr duration rate_memory = std::chrono::milliseconds(1'000);
/// A daemon keeps tokens for the requests of a report interval and this time.
constexpr duration spare_time = std::chrono::milliseconds(200);
/// With tokens for less than this time left, the daemon reports early.
constexpr duration shortage_time = std::chrono::milliseconds(100);
/// Fewer expected requests than this are not provided for in advance: one of them waits for a
/// grant, and tokens of a small quota are not spread over daemons that do not need them.
constexpr double least_prefetch = 1;
/// Workspaces with a lower rate of requests are left out of reports if nothing else is known.
constexpr double least_rate_per_s = 0.05;
constexpr duration minimum_retry_after = std::chrono::milliseconds(200);

double seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

quota_account::quota_account(std::uint64_t process)
    : next_sequence_((process << quota_sequence_bits) + 1) {}

void quota_account::set_limits(const quota_limits& limits, std::uint64_t version) {
  std::erase_if(workspaces_, [&](const auto& entry) { return !limits.contains(entry.first); });
  for (const auto& [name, limit] : limits) {
    const auto [found, added] = workspaces_.try_emplace(name);
    workspace_state& state = found->second;
    if (!added &&
        (limit.capacity < state.limit.capacity || limit.rate_per_s < state.limit.rate_per_s)) {
      const double left = std::min(limit.capacity / state.limit.capacity, 1.0);
      state.tokens = std::floor(state.tokens * left);
      state.lowered_in = version;
    }
    state.limit = limit;
    state.part = part_of(name);
  }
}

bool quota_account::spend(workspace_state& state, time_point now) {
  if (now >= state.valid_until) {
    state.tokens = 0;
  }
  if (state.tokens < 1) {
    return false;
  }
  --state.tokens;
  ++state.used;
  return true;
}

double quota_account::prefetch(const workspace_state& state) const {
  const double expected = state.rate_per_s * seconds(report_interval(daemons_) + spare_time);
  return expected < least_prefetch ? 0 : std::ceil(expected);
}

void quota_account::note_shortage(const workspace_state& state) {
  if (prefetch(state) > 0 && state.tokens < state.rate_per_s * seconds(shortage_time)) {
    make_urgent(state);
  }
}

void quota_account::make_urgent(const workspace_state& state) {
  part_state& part = parts_.at(static_cast<std::size_t>(state.part));
  part.urgent_from = std::min(part.urgent_from, state.denied_until);
}

quota_answer quota_account::take(const workspace_name& workspace, time_point now) {
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end()) {
    return quota_answer::admitted;
  }
  workspace_state& state = found->second;
  ++state.arrivals;
  const bool admitted = spend(state, now);
  note_shortage(state);
  if (admitted) {
    return quota_answer::admitted;
  }
  if (now < state.denied_until) {
    return quota_answer::refused;
  }
  ++state.waiting;
  make_urgent(state);
  return quota_answer::wait;
}

bool quota_account::take_for_waiting(const workspace_name& workspace, time_point now) {
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end()) {
    return true;  // The workspace has no limit any more.
  }
  if (!spend(found->second, now)) {
    return false;
  }
  stop_waiting(workspace);
  return true;
}

void quota_account::stop_waiting(const workspace_name& workspace) {
  const auto found = workspaces_.find(workspace);
  if (found != workspaces_.end()) {
    found->second.waiting = std::max(found->second.waiting - 1, 0);
  }
}

void quota_account::give_back(const workspace_name& workspace, time_point now) {
  const auto found = workspaces_.find(workspace);
  if (found != workspaces_.end() && now < found->second.valid_until) {
    ++found->second.tokens;
    --found->second.used;
  }
}

bool quota_account::may_wait(const workspace_name& workspace, time_point now) const {
  const auto found = workspaces_.find(workspace);
  return found != workspaces_.end() && now >= found->second.denied_until;
}

duration quota_account::retry_after(const workspace_name& workspace) const {
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end()) {
    return minimum_retry_after;
  }
  const std::chrono::duration<double> one_token(1 / found->second.limit.rate_per_s);
  return std::max(std::chrono::duration_cast<duration>(one_token), minimum_retry_after);
}

time_point quota_account::due(const part_state& part) const {
  if (!part.coordinator.has_value()) {
    return part.sent_at;
  }
  if (part.leaving) {
    return part.share_until + longest_transit;
  }
  const duration interval = report_interval(daemons_);
  const time_point usual = part.sent_at + (part.active ? interval : interval * 2);
  const time_point earliest = part.sent_at + (part.answered ? urgent_interval : grant_time);
  return std::min(usual, std::max(part.urgent_from, earliest));
}

time_point quota_account::next_due() const {
  time_point when = time_point::max();
  for (const part_state& part : parts_) {
    when = std::min(when, due(part));
  }
  return when;
}

std::optional<addressed_report> quota_account::next_report(std::int32_t index,
                                                           const instance_name& coordinator,
                                                           time_point now) {
  part_state& part = parts_.at(static_cast<std::size_t>(index));
  if (part.coordinator.has_value() && now >= part.share_until + longest_transit) {
    part.coordinator.reset();
  }
  if (!part.coordinator.has_value()) {
    part.coordinator = coordinator;
    part.leaving = false;
  } else if (*part.coordinator != coordinator) {
    if (part.leaving) {
      return std::nullopt;
    }
    part.leaving = true;
    return make_report(index, part, now);
  } else if (part.leaving) {
    part.leaving = false;
  } else if (now < due(part)) {
    return std::nullopt;
  }
  return make_report(index, part, now);
}

/// Updates what is expected of a workspace, and gives up the tokens that are not needed.
wire::quota_demand quota_account::demand_of(const workspace_name& name, workspace_state& state,
                                            duration elapsed, time_point now) const {
  const double memory_s = seconds(rate_memory);
  state.rate_per_s =
      state.rate_per_s * std::exp(-seconds(elapsed) / memory_s) + state.arrivals / memory_s;
  state.arrivals = 0;
  state.waiting_at_report = state.waiting;
  const double wanted = state.waiting + prefetch(state);
  if (now >= state.valid_until) {
    state.tokens = 0;
  }
  state.tokens = std::min(state.tokens, wanted);
  return {name, state.used, wanted, state.tokens};
}

addressed_report quota_account::make_report(std::int32_t index, part_state& part, time_point now) {
  addressed_report result{*part.coordinator, {}};
  wire::quota_report& report = result.report;
  report.sequence = next_sequence_++;
  report.part = index;
  const duration elapsed = now - part.sent_at;
  for (auto& [name, state] : workspaces_) {
    if (state.part != index) {
      continue;
    }
    if (part.leaving) {
      state.tokens = 0;
    } else if (state.arrivals > 0 || state.waiting > 0 || state.tokens > 0 ||
               state.used != state.used_at_report || state.rate_per_s > least_rate_per_s) {
      report.demands.push_back(demand_of(name, state, elapsed, now));
    }
    state.used_at_report = state.used;
  }
  part.sequence = report.sequence;
  part.sent_at = now;
  part.answered = false;
  part.active = !report.demands.empty();
  part.urgent_from = time_point::max();
  if (!part.leaving) {
    report.accrued_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(report_validity(daemons_));
    part.share_until = now + report.accrued_ms;
  }
  return result;
}

double quota_account::receive(const instance_name& from, const wire::quota_grant& grant,
                              std::uint64_t version) {
  if (grant.part < 0 || grant.part >= quota_parts) {
    return 0;
  }
  part_state& part = parts_.at(static_cast<std::size_t>(grant.part));
  if (part.coordinator != from || grant.sequence != part.sequence || part.answered) {
    return 0;
  }
  part.answered = true;
  if (grant.valid_ms.count() == 0) {
    if (part.leaving) {
      part.coordinator.reset();
    }
    return 0;
  }
  double received = 0;
  for (const wire::quota_tokens& granted : grant.granted) {
    const auto found = workspaces_.find(granted.workspace);
    if (found == workspaces_.end() || found->second.part != grant.part ||
        version < found->second.lowered_in) {
      continue;
    }
    workspace_state& state = found->second;
    const double before = state.tokens;
    state.tokens =
        std::clamp(granted.tokens - (state.used - state.used_at_report), 0.0, state.limit.capacity);
    state.valid_until = part.sent_at + grant.valid_ms;
    received += std::max(state.tokens - before, 0.0);
    const bool denied =
        granted.tokens < std::min<double>(state.waiting_at_report, least_useful_grant);
    state.denied_until = denied ? part.sent_at + denied_interval : time_point{};
    note_shortage(state);
  }
  return received;
}

double quota_account::tokens(const workspace_name& workspace, time_point now) const {
  const auto found = workspaces_.find(workspace);
  return found == workspaces_.end() || now >= found->second.valid_until ? 0 : found->second.tokens;
}

}  // namespace crocusdoor

#include "rollout/rollout_decider.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// The status in the store, if it belongs to the order: a new order may have the status of the one
/// before.
std::optional<wire::rollout_phase> phase_of(const rollout_order& order) {
  const bool current =
      order.status.has_value() && order.status->target_version == order.target_version;
  return current ? std::optional(order.status->phase) : std::nullopt;
}

}  // namespace

bool rollout_decider::decides(const instance_name& self, const std::vector<instance_name>& linked,
                              std::size_t known_daemons) {
  std::vector<instance_name> members = linked;
  members.push_back(self);
  return members.size() * 2 > known_daemons && first_decider(std::move(members)) == self;
}

rollout_run::start rollout_decider::begin(const rollout_order& order,
                                          const rollout_table::held_rollout* held, time_point now) {
  using enum wire::rollout_phase;
  rollout_run::start result{order, order.revision, running, now + order.span};
  const std::optional<wire::rollout_phase> stored = phase_of(order);
  const bool same_version = held != nullptr && held->state.target_version == order.target_version;
  // A version that is completed already has all requests; its order was restored from a copy.
  const bool known = same_version && (stored.has_value() || order.revision <= held->state.order ||
                                      held->state.phase == completed);
  if (known) {
    result.id = held->state.order;
    result.phase = held->state.phase;
    result.deadline = held->deadline;
    result.taken_over = true;
    result.permille = held->state.permille;
  } else if (held != nullptr) {
    result.id = std::max(order.revision, held->state.order + 1);
  }
  if (stored.has_value() && *stored != running) {
    result.phase = *stored;
  } else if (stored.has_value() && !known) {
    // No daemon knows how many requests the version has got.
    result.phase = rolled_back;
  }
  return result;
}

void rollout_decider::order_read(const rollout_order& order, std::uint64_t era,
                                 const rollout_table::held_rollout* held, time_point now) {
  const auto found = runs_.find(order.service);
  if (found != runs_.end()) {
    known_run& known = found->second;
    const bool same_spec = known.run.order().target_version == order.target_version &&
                           known.run.order().span == order.span;
    const bool restored = era != known.era;
    if (!restored && order.revision < known.run.order().revision) {
      return;  // A response that was overtaken by a later one.
    }
    if (same_spec &&
        (restored || phase_of(order).has_value() || order.revision <= known.run.order().revision)) {
      known.run.order_read(order);
      known.era = era;
      return;
    }
    runs_.erase(found);
  }
  runs_.emplace(order.service, known_run{rollout_run(begin(order, held, now), bound_, now), era});
}

void rollout_decider::evidence_received(const instance_name& from,
                                        const wire::rollout_evidence& report, time_point now) {
  rollout_run* run = find(report.service);
  if (run != nullptr && run->id() == report.order) {
    run->evidence().received(from, report, now);
  }
}

rollout_decider::actions rollout_decider::decide(const surroundings& seen, time_point now) {
  actions result;
  for (auto& [service, known] : runs_) {
    rollout_run& run = known.run;
    run.decide(seen.daemons, seen.capacity(service, run.order().target_version), now);
    if (const auto state = run.state_to_send(now)) {
      result.states.push_back(*state);
    }
    if (const auto write = run.status_to_write(now)) {
      result.writes.push_back(*write);
    }
  }
  return result;
}

void rollout_decider::status_written(const rollout_status_write& write, bool done,
                                     std::uint64_t revision) {
  rollout_run* run = find(write.service);
  if (run != nullptr && run->order().target_version == write.status.target_version) {
    run->status_written(write.status, done, revision);
  }
}

rollout_run* rollout_decider::find(const service_name& service) {
  const auto found = runs_.find(service);
  return found == runs_.end() ? nullptr : &found->second.run;
}

}  // namespace crocusdoor

#include "daemon/target_gateway.h"

#include <utility>

#include "daemon/event_log.h"
#include "daemon/request_identity.h"
#include "routing/deadline.h"
#include "run_once/claim_check.h"
#include "run_once/idempotency_key_extractor.h"

namespace crocusdoor {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(20);
/// Connections of one target that are lost within this time belong to one crash.
constexpr duration crash_window = std::chrono::milliseconds(200);
/// Probes that may fail in a row before the target counts as not ready; a single failure can be
/// the prober's own connection going away.
constexpr int probe_failures_allowed = 1;
/// A target that has answered a request this recently is ready whatever its health path says.
constexpr duration answer_outranks_probe = std::chrono::seconds(2);
constexpr duration default_retry_after = std::chrono::milliseconds(500);

}  // namespace

/// One call on its way through the gateway.
struct target_gateway::work {
  instance_name from;
  wire::call request;
  time_point deadline;
  digest identity;
  hop_span span;
  admission_ticket ticket = 0;
  bool isolated = false;
  bool running = false;
  bool answered = false;
  wall_time isolation_begun{};
  http_call target_call;

  work(const daemon_context& shared, instance_name sender, wire::call received)
      : from(std::move(sender)),
        request(std::move(received)),
        deadline(deadline_rule::on_arrival(request.deadline_left_ms, shared.loop.now()) -
                 request.transit),
        identity(request_digest(request)),
        span(shared, "target " + request.service.str(), request.traceparent) {}
};

target_gateway::target_gateway(const daemon_context& shared, crash_suspicions& suspicions,
                               handlers callbacks)
    : shared_(shared),
      suspicions_(suspicions),
      callbacks_(std::move(callbacks)),
      target_(shared),
      admission_([&] {
        admission_policy policy = default_admission_policy(shared.options.target.slots);
        policy.queue_limit = static_cast<std::size_t>(shared.options.limits.queue_length);
        return policy;
      }()) {
  tick_timer_ = shared_.loop.every(tick_interval, [this] { tick(); });
  probe_timer_ =
      shared_.loop.every(shared_.options.target.health_interval_ms, [this] { probe_target(); });
  probe_target();
}

void target_gateway::receive(const instance_name& from, version_number sender_version,
                             const wire::call& request) {
  const receipt received =
      ledger_.receive(from, request.sender_incarnation, request.id, shared_.loop.now());
  if (received == receipt::duplicate) {
    return;
  }
  const auto one = std::make_shared<work>(shared_, from, request);
  if (received == receipt::refused) {
    refuse(one, "request_id_refused", default_retry_after);
    return;
  }
  if (sender_version <= callbacks_.current_snapshot()->version) {
    check(one);
    return;
  }
  callbacks_.catch_up(sender_version, [this, one](bool reached) {
    if (reached) {
      check(one);
    } else {
      refuse(one, "configuration_behind", default_retry_after);
    }
  });
}

void target_gateway::check(const work_pointer& one) {
  const std::string reason = reason_to_refuse(one);
  if (reason.empty()) {
    admit(one);
  } else {
    refuse(one, reason, default_retry_after);
  }
}

std::string target_gateway::reason_to_refuse(const work_pointer& one) const {
  if (draining_) {
    return "draining";
  }
  if (!ready_) {
    return "target_not_ready";
  }
  if (one->request.service != shared_.options.target.service) {
    return "service_not_here";
  }
  if (suspicions_.decision(one->identity, event_loop::wall_now()) == crash_decision::refuse) {
    return "crashes_targets";
  }
  return claim_problem(one->request);
}

std::string target_gateway::claim_problem(const wire::call& request) const {
  const snapshot_pointer current = callbacks_.current_snapshot();
  const run_once_action* action =
      find_action(*current, request.service, request.method, request.path);
  if (action == nullptr && !request.claim_held.has_value()) {
    return "";
  }
  if (action == nullptr) {
    const bool expired =
        request.claim_held->expires_at_ms <= event_loop::wall_now().time_since_epoch().count();
    return expired ? "claim_expired" : "";
  }
  return handle_failure(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(key, extract_key(*action, request.method, request.path, request.headers,
                                         request.body.bytes));
        const claim_check_result result =
            check_claim(action, request.claim_held, operation_key{action->name, key},
                        body_digest(request), event_loop::wall_now());
        return result.allowed() ? std::string() : "claim_" + std::string(to_string(result.result));
      },
      [](const failure&) { return std::string("idempotency_key_missing"); });
}

void target_gateway::admit(const work_pointer& one) {
  one->ticket = next_ticket_++;
  one->isolated =
      suspicions_.decision(one->identity, event_loop::wall_now()) == crash_decision::isolate;
  const snapshot_pointer current = callbacks_.current_snapshot();
  const route* path_route = find_route(*current, one->request.path);
  const std::string work_class =
      path_route != nullptr ? path_route->name.str() : one->request.service.str();
  admitted_[one->ticket] = one;
  const admission_decision decision = admission_.offer(
      {one->ticket, one->request.priority, one->deadline, work_class, one->isolated},
      shared_.loop.now());
  if (decision.outcome == admission_outcome::started) {
    run(one);
  } else if (decision.outcome == admission_outcome::refused) {
    refuse(one, std::string(to_string(decision.reason)), decision.retry_after);
  }
  apply(decision.changes);
}

void target_gateway::apply(const admission_changes& changes) {
  for (const refused_ticket& refused : changes.refused) {
    const auto found = admitted_.find(refused.ticket);
    if (found != admitted_.end()) {
      refuse(work_pointer(found->second), std::string(to_string(refused.reason)),
             refused.retry_after);
    }
  }
  for (const admission_ticket ticket : changes.started) {
    const auto found = admitted_.find(ticket);
    if (found != admitted_.end()) {
      run(work_pointer(found->second));
    }
  }
}

void target_gateway::run(const work_pointer& one) {
  // The suspicion or the claim's expiry may have changed while the request waited.
  const std::string reason = reason_to_refuse(one);
  if (!reason.empty() && reason != "draining") {
    const admission_changes changes = admission_.finished(one->ticket, shared_.loop.now());
    refuse(one, reason, default_retry_after);
    apply(changes);
    return;
  }
  one->running = true;
  if (one->isolated) {
    one->isolation_begun = suspicions_.begin_isolation(one->identity, event_loop::wall_now());
  }
  ledger_.set_running(one->from, one->request.sender_incarnation, one->request.id);
  wire::call outgoing = one->request;
  outgoing.traceparent = one->span.traceparent();
  one->target_call = target_.send(outgoing, one->deadline,
                                  [this, one](wire::call_answer value, bool connection_lost) {
                                    target_answered(one, std::move(value), connection_lost);
                                  });
}

void target_gateway::target_answered(const work_pointer& one, wire::call_answer value,
                                     bool connection_lost) {
  const time_point now = shared_.loop.now();
  if (connection_lost) {
    report_crash(one);
  }
  if (value.outcome == verdict::ran) {
    target_heard_at_ = now;
    if (one->isolated) {
      callbacks_.spread_suspicions(
          suspicions_.completed_in_isolation(one->identity, one->isolation_begun));
    }
  } else if (value.reason == "target_unreachable") {
    set_ready(false);
  }
  if (one->request.claim_held.has_value()) {
    std::optional<recorded_answer> recorded;
    if (value.outcome == verdict::ran) {
      const auto type = value.headers.find("Content-Type");
      recorded = recorded_answer{
          value.status, type == value.headers.end() ? std::string() : type->second, value.body};
    }
    // A "not run" is not recorded here: the calling side may send the request to another target
    // under the same claim, and releases the claim when it gives up.
    if (value.outcome != verdict::not_run) {
      callbacks_.complete_claim(*one->request.claim_held, value.outcome, std::move(recorded));
    }
  }
  const admission_changes changes = admission_.finished(one->ticket, now);
  answer(one, std::move(value));
  apply(changes);
}

void target_gateway::report_crash(const work_pointer& one) {
  const time_point now = shared_.loop.now();
  const bool same_crash = crashes_ > 0 && now - last_crash_at_ < crash_window;
  if (same_crash) {
    return;
  }
  last_crash_at_ = now;
  ++crashes_;
  std::vector<digest> in_flight = {one->identity};
  for (const auto& [ticket, other] : admitted_) {
    if (other->running && !other->answered && other != one) {
      in_flight.push_back(other->identity);
    }
  }
  const std::uint64_t crash_id = shared_.incarnation + crashes_;
  LOG_EVENT(WARNING, "target_connection_lost")
      << field("request", one->identity) << field("in_flight", in_flight.size());
  callbacks_.spread_suspicions(suspicions_.crashed(in_flight, shared_.options.instance.name,
                                                   crash_id, event_loop::wall_now()));
  probe_target();
}

void target_gateway::refuse(const work_pointer& one, const std::string& reason,
                            duration retry_after) {
  shared_.counters.count_refusal(reason);
  wire::call_answer value;
  value.outcome = verdict::not_run;
  value.reason = reason;
  value.retry_after_ms = std::chrono::ceil<std::chrono::milliseconds>(retry_after);
  answer(one, std::move(value));
}

void target_gateway::answer(const work_pointer& one, wire::call_answer value) {
  if (one->answered) {
    return;
  }
  one->answered = true;
  admitted_.erase(one->ticket);
  value.id = one->request.id;
  value.load = admission_.load();
  one->span.tag("verdict", std::string(to_string(value.outcome)));
  if (!value.reason.empty()) {
    one->span.tag("reason", value.reason);
  }
  one->span.finish();
  ledger_.set_done(one->from, one->request.sender_incarnation, value, shared_.loop.now());
  callbacks_.send_answer(one->from, value);
}

void target_gateway::cancel(const instance_name& from, std::uint64_t sender_incarnation,
                            wire::request_id id) {
  for (const auto& [ticket, one] : admitted_) {
    const bool same = one->from == from && one->request.id == id &&
                      one->request.sender_incarnation == sender_incarnation;
    if (same) {
      abandon(work_pointer(one), "cancelled");
      return;
    }
  }
  // The call may arrive later, by a link that was opened before this one.
  const wire::call_status_answer known =
      ledger_.query(from, sender_incarnation, id, shared_.loop.now());
  shared_.counters.count_cancellation("unmatched");
  LOG_EVENT(INFO, "cancellation_unmatched")
      << field("from", from) << field("call", id) << field("known", known.answer.has_value());
}

void target_gateway::link_lost(const instance_name& peer, std::uint64_t link) {
  std::vector<work_pointer> concerned;
  for (const auto& [ticket, one] : admitted_) {
    if (one->from == peer && one->request.link == link) {
      concerned.push_back(one);
    }
  }
  for (const work_pointer& one : concerned) {
    if (!one->running || one->request.idempotent) {
      abandon(one, "link_lost");
    }
  }
}

/// Ends a request for which nobody waits any more.
void target_gateway::abandon(const work_pointer& one, const std::string& reason) {
  // The outcome of a run-once request matters even then.
  if (one->running && one->request.claim_held.has_value()) {
    return;
  }
  const cancel_result result = admission_.cancel(one->ticket, shared_.loop.now());
  if (result.outcome == cancel_outcome::was_waiting) {
    refuse(one, reason, duration::zero());
    apply(result.changes);
  } else if (result.outcome == cancel_outcome::was_running) {
    target_.cancel(one->target_call);
    const admission_changes freed = admission_.finished(one->ticket, shared_.loop.now());
    wire::call_answer value;
    value.reason = reason;
    answer(one, std::move(value));
    apply(result.changes);
    apply(freed);
  }
}

wire::call_status_answer target_gateway::status(const instance_name& from,
                                                const wire::call_status& query) {
  return ledger_.query(from, query.sender_incarnation, query.id, shared_.loop.now());
}

void target_gateway::begin_drain() {
  draining_ = true;
  admission_.begin_drain(shared_.loop.now());
}

bool target_gateway::drained() const {
  return draining_ && admission_.drained();
}

void target_gateway::probe_target() {
  target_.probe([this](bool healthy) {
    const bool heard = shared_.loop.now() - target_heard_at_ < answer_outranks_probe;
    failed_probes_ = healthy ? 0 : failed_probes_ + 1;
    if (healthy) {
      set_ready(true);
    } else if (failed_probes_ > probe_failures_allowed && !heard) {
      set_ready(false);
    }
  });
}

void target_gateway::set_ready(bool ready) {
  if (ready != ready_) {
    ready_ = ready;
    LOG_EVENT(INFO, "target_readiness") << field("ready", ready ? "true" : "false");
    callbacks_.readiness_changed(ready);
  }
}

void target_gateway::tick() {
  apply(admission_.tick(shared_.loop.now()));
  ledger_.expire(shared_.loop.now());
  const load_report load = admission_.load();
  shared_.counters.slots_in_use().Set(load.slots_in_use);
  shared_.counters.queue_length().Set(load.queued);
}

}  // namespace crocusdoor

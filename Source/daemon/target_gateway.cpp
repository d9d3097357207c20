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
/// Connections to the target that are lost within this time are counted as one crash.
constexpr duration crash_window = std::chrono::milliseconds(200);
/// Consecutive probe failures after which the target still counts as ready; a single failure may
/// only mean that the target closed the prober's connection.
constexpr int tolerated_probe_failures = 1;
/// A target that has responded to a request within this time stays ready even if its health probe
/// fails.
constexpr duration response_overrides_probe = std::chrono::seconds(2);
constexpr duration default_retry_after = std::chrono::milliseconds(500);

}  // namespace

/// A call from its arrival to its response.
struct target_gateway::received_call {
  instance_name from;
  wire::call request;
  time_point deadline;
  digest identity;
  hop_span span;
  admission_ticket ticket = 0;
  bool isolated = false;
  bool running = false;
  bool responded = false;
  wall_time isolation_started_at{};
  http_call target_call;

  received_call(const daemon_context& shared, instance_name sender, wire::call received)
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
  const receive_result received =
      ledger_.receive(from, request.sender_incarnation, request.id, shared_.loop.now());
  if (received == receive_result::duplicate) {
    return;
  }
  const auto call = std::make_shared<received_call>(shared_, from, request);
  if (received == receive_result::refused) {
    refuse(call, "request_id_refused", default_retry_after);
    return;
  }
  if (sender_version <= callbacks_.current_snapshot()->version) {
    admit_or_refuse(call);
    return;
  }
  callbacks_.catch_up(sender_version, [this, call](bool reached) {
    if (reached) {
      admit_or_refuse(call);
    } else {
      refuse(call, "configuration_behind", default_retry_after);
    }
  });
}

void target_gateway::admit_or_refuse(const call_pointer& call) {
  const std::string reason = refusal_reason(call);
  if (reason.empty()) {
    admit(call);
  } else {
    refuse(call, reason, default_retry_after);
  }
}

std::string target_gateway::refusal_reason(const call_pointer& call) const {
  if (draining_) {
    return "draining";
  }
  if (!ready_) {
    return "target_not_ready";
  }
  if (call->request.service != shared_.options.target.service) {
    return "service_not_here";
  }
  if (suspicions_.decision(call->identity, event_loop::wall_now()) == crash_decision::refuse) {
    return "crashes_targets";
  }
  return claim_problem(call->request);
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

void target_gateway::admit(const call_pointer& call) {
  call->ticket = next_ticket_++;
  call->isolated =
      suspicions_.decision(call->identity, event_loop::wall_now()) == crash_decision::isolate;
  const snapshot_pointer current = callbacks_.current_snapshot();
  const route* path_route = find_route(*current, call->request.path);
  const std::string work_class =
      path_route != nullptr ? path_route->name.str() : call->request.service.str();
  admitted_[call->ticket] = call;
  const admission_decision decision = admission_.offer(
      {call->ticket, call->request.priority, call->deadline, work_class, call->isolated},
      shared_.loop.now());
  if (decision.outcome == admission_outcome::started) {
    run(call);
  } else if (decision.outcome == admission_outcome::refused) {
    refuse(call, std::string(to_string(decision.reason)), decision.retry_after);
  }
  apply(decision.changes);
}

void target_gateway::apply(const admission_changes& changes) {
  for (const refused_ticket& refused : changes.refused) {
    const auto found = admitted_.find(refused.ticket);
    if (found != admitted_.end()) {
      refuse(call_pointer(found->second), std::string(to_string(refused.reason)),
             refused.retry_after);
    }
  }
  for (const admission_ticket ticket : changes.started) {
    const auto found = admitted_.find(ticket);
    if (found != admitted_.end()) {
      run(call_pointer(found->second));
    }
  }
}

void target_gateway::run(const call_pointer& call) {
  // While the request was queued, a crash suspicion may have been added or the claim may have
  // expired.
  const std::string reason = refusal_reason(call);
  if (!reason.empty() && reason != "draining") {
    const admission_changes changes =
        admission_.finished(call->ticket, shared_.loop.now(), verdict::not_run);
    refuse(call, reason, default_retry_after);
    apply(changes);
    return;
  }
  call->running = true;
  if (call->isolated) {
    call->isolation_started_at =
        suspicions_.begin_isolation(call->identity, event_loop::wall_now());
  }
  ledger_.set_running(call->from, call->request.sender_incarnation, call->request.id);
  wire::call outgoing = call->request;
  outgoing.traceparent = call->span.traceparent();
  call->target_call = target_.send(outgoing, call->deadline,
                                   [this, call](wire::call_answer response, bool connection_lost) {
                                     target_responded(call, std::move(response), connection_lost);
                                   });
}

void target_gateway::target_responded(const call_pointer& call, wire::call_answer response,
                                      bool connection_lost) {
  const time_point now = shared_.loop.now();
  if (connection_lost) {
    report_crash(call);
  }
  if (response.outcome == verdict::ran) {
    last_target_response_at_ = now;
    if (call->isolated) {
      callbacks_.broadcast_suspicions(
          suspicions_.completed_in_isolation(call->identity, call->isolation_started_at));
    }
  } else if (response.reason == "target_unreachable") {
    set_ready(false);
  }
  if (call->request.claim_held.has_value()) {
    std::optional<recorded_response> recorded;
    if (response.outcome == verdict::ran) {
      const auto type = response.headers.find("Content-Type");
      recorded = recorded_response{response.status,
                                   type == response.headers.end() ? std::string() : type->second,
                                   response.body};
    }
    // The verdict "not run" is not recorded here: the calling side may send the request to another
    // target under the same claim, and releases the claim when it stops retrying.
    if (response.outcome != verdict::not_run) {
      callbacks_.complete_claim(*call->request.claim_held, response.outcome, std::move(recorded));
    }
  }
  const admission_changes changes = admission_.finished(call->ticket, now, response.outcome);
  respond(call, std::move(response));
  apply(changes);
}

void target_gateway::report_crash(const call_pointer& call) {
  const time_point now = shared_.loop.now();
  const bool same_crash = crashes_ > 0 && now - last_crash_at_ < crash_window;
  if (same_crash) {
    return;
  }
  last_crash_at_ = now;
  ++crashes_;
  std::vector<digest> in_flight = {call->identity};
  for (const auto& [ticket, other] : admitted_) {
    if (other->running && !other->responded && other != call) {
      in_flight.push_back(other->identity);
    }
  }
  const std::uint64_t crash_id = shared_.incarnation + crashes_;
  LOG_EVENT(WARNING, "target_connection_lost")
      << field("request", call->identity) << field("in_flight", in_flight.size());
  callbacks_.broadcast_suspicions(suspicions_.crashed(in_flight, shared_.options.instance.name,
                                                      crash_id, event_loop::wall_now()));
  probe_target();
}

void target_gateway::refuse(const call_pointer& call, const std::string& reason,
                            duration retry_after) {
  shared_.counters.count_refusal(reason);
  wire::call_answer response;
  response.outcome = verdict::not_run;
  response.reason = reason;
  response.retry_after_ms = std::chrono::ceil<std::chrono::milliseconds>(retry_after);
  respond(call, std::move(response));
}

void target_gateway::respond(const call_pointer& call, wire::call_answer response) {
  if (call->responded) {
    return;
  }
  call->responded = true;
  admitted_.erase(call->ticket);
  response.id = call->request.id;
  response.load = admission_.load();
  call->span.tag("verdict", std::string(to_string(response.outcome)));
  if (!response.reason.empty()) {
    call->span.tag("reason", response.reason);
  }
  call->span.finish();
  ledger_.set_done(call->from, call->request.sender_incarnation, response, shared_.loop.now());
  callbacks_.send_response(call->from, response);
}

void target_gateway::cancel(const instance_name& from, std::uint64_t sender_incarnation,
                            wire::request_id id) {
  for (const auto& [ticket, call] : admitted_) {
    const bool matches = call->from == from && call->request.id == id &&
                         call->request.sender_incarnation == sender_incarnation;
    if (matches) {
      abandon(call_pointer(call), "cancelled");
      return;
    }
  }
  // The call may arrive later, over a link that was opened before the link of the cancellation. The
  // query records an unknown call as never received, so that it is refused on arrival.
  const wire::call_status_answer ledger_status =
      ledger_.query(from, sender_incarnation, id, shared_.loop.now());
  shared_.counters.count_cancellation("unmatched");
  LOG_EVENT(INFO, "cancellation_unmatched") << field("from", from) << field("call", id)
                                            << field("known", ledger_status.answer.has_value());
}

void target_gateway::link_lost(const instance_name& peer, std::uint64_t link) {
  std::vector<call_pointer> affected;
  for (const auto& [ticket, call] : admitted_) {
    if (call->from == peer && call->request.link == link) {
      affected.push_back(call);
    }
  }
  for (const call_pointer& call : affected) {
    if (!call->running || call->request.idempotent) {
      abandon(call, "link_lost");
    }
  }
}

/// Ends a request whose response is no longer needed.
void target_gateway::abandon(const call_pointer& call, const std::string& reason) {
  // A running run-once request continues, because its outcome must be recorded.
  if (call->running && call->request.claim_held.has_value()) {
    return;
  }
  const cancel_result result = admission_.cancel(call->ticket, shared_.loop.now());
  if (result.outcome == cancel_outcome::was_waiting) {
    refuse(call, reason, duration::zero());
    apply(result.changes);
  } else if (result.outcome == cancel_outcome::was_running) {
    target_.cancel(call->target_call);
    const admission_changes freed =
        admission_.finished(call->ticket, shared_.loop.now(), verdict::may_have_run);
    wire::call_answer response;
    response.reason = reason;
    respond(call, std::move(response));
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
    const bool responded_recently =
        shared_.loop.now() - last_target_response_at_ < response_overrides_probe;
    failed_probes_ = healthy ? 0 : failed_probes_ + 1;
    if (healthy) {
      set_ready(true);
    } else if (failed_probes_ > tolerated_probe_failures && !responded_recently) {
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

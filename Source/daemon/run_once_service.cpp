#include "daemon/run_once_service.h"

#include <algorithm>
#include <utility>

#include "daemon/event_log.h"
#include "run_once/shard_directory.h"

namespace crocusdoor {

namespace {

const std::string log_kind = "run-once";

constexpr duration tick_interval = std::chrono::milliseconds(20);
constexpr duration initial_completion_backoff = std::chrono::milliseconds(100);
constexpr duration max_completion_backoff = std::chrono::seconds(5);
constexpr duration request_resend_interval = std::chrono::milliseconds(300);
/// How long the response to a claim request is kept for a repeat of the request. Must be longer
/// than it takes to detect a silent link and to open a new one.
constexpr duration remote_response_retention = std::chrono::seconds(60);

/// Mean time between two writes of one shard under load. It limits all 8 shards together to about
/// 260 writes/s, below the several hundred writes/s that the platform accepts.
constexpr duration shard_write_interval = std::chrono::milliseconds(31);

shard_log_settings make_shard_settings(const settings& options) {
  shard_log_settings result;
  result.write_interval = shard_write_interval;
  result.clock_skew = options.timing.clock_skew_limit_ms;
  return result;
}

wire::claim_answer to_message(wire::request_id id, const claim_response& response) {
  return {id,
          response.decision,
          response.granted,
          response.answer,
          response.reason,
          std::chrono::ceil<std::chrono::milliseconds>(response.retry_after)};
}

claim_response from_message(const wire::claim_answer& message) {
  return {message.decision, message.granted, message.answer, message.reason,
          message.retry_after_ms};
}

}  // namespace

run_once_service::run_once_service(const daemon_context& shared, peer_mesh& mesh,
                                   platform_client& platform)
    : shared_(shared),
      mesh_(mesh),
      platform_(platform),
      claims_(shared.options.instance.name, shared.random, make_shard_settings(shared.options)) {
  message_dispatcher& dispatcher = mesh_.dispatcher();
  dispatcher.on<wire::claim_request>(
      [this](const auto& from, const auto& content) { receive_claim_request(from, content); });
  dispatcher.on<wire::claim_answer>(
      [this](const auto&, const auto& content) { receive_claim_response(content); });
  dispatcher.on<wire::claim_complete>(
      [this](const auto& from, const auto& content) { receive_completion(from, content); });
  dispatcher.on<wire::claim_complete_answer>(
      [this](const auto&, const auto& content) { receive_completion_response(content); });
  timer_ = shared_.loop.every(tick_interval, [this] { tick(); });
}

clock_reading run_once_service::read_clock() const {
  return {shared_.loop.now(), event_loop::wall_now()};
}

void run_once_service::set_live_members(const std::vector<instance_name>& live) {
  apply(claims_.set_live_members(live, read_clock()));
}

void run_once_service::request_claim(const claim_parameters& parameters, claim_callback done) {
  const wire::request_id id = next_request_id_++;
  pending_request& pending = pending_requests_[id];
  pending.parameters = parameters;
  pending.done = std::move(done);
  const duration left = parameters.expires_at - event_loop::wall_now();
  pending.timeout = shared_.loop.after(left, [this, id] { request_timed_out(id); });
  send_request(id);
}

void run_once_service::send_request(wire::request_id id) {
  pending_request& pending = pending_requests_.at(id);
  const auto owner = claims_.owner_of(pending.parameters.operation);
  if (!owner.has_value()) {
    return;
  }
  pending.owner = *owner;
  const claim_parameters& parameters = pending.parameters;
  if (*owner == shared_.options.instance.name) {
    pending.sent = true;
    const ticket_number ticket = next_ticket_++;
    claim_callbacks_[ticket] = [this, id](const claim_response& response) {
      response_received(id, response);
    };
    apply(claims_.request_claim(ticket, parameters, read_clock()));
    return;
  }
  pending.next_resend = shared_.loop.now() + request_resend_interval;
  pending.sent =
      mesh_.send(*owner, wire::claim_request{id, parameters.operation, parameters.body_digest,
                                             parameters.expires_at.time_since_epoch().count(),
                                             parameters.retention_days});
  if (!pending.sent) {
    mesh_.ensure_link(*owner);
  }
}

void run_once_service::response_received(wire::request_id id, const claim_response& response) {
  auto node = pending_requests_.extract(id);
  const bool granted = response.decision == claim_decision::granted && response.granted.has_value();
  if (!node.empty()) {
    if (granted) {
      used_claims_[response.granted->id] = response.granted->expires_at_ms;
    }
    node.mapped().done(response);
  } else if (granted && !used_claims_.contains(response.granted->id)) {
    // The request that asked for this claim has ended, so nothing will run under it.
    complete(*response.granted, verdict::not_run, std::nullopt);
  }
}

void run_once_service::request_timed_out(wire::request_id id) {
  auto node = pending_requests_.extract(id);
  if (node.empty()) {
    return;
  }
  LOG_EVENT(WARNING, "claim_unanswered")
      << field("action", node.mapped().parameters.operation.action)
      << field("owner", node.mapped().owner);
  // The claim may have been granted, but this instance will not use it, so the request has not run.
  node.mapped().done({claim_decision::refused, std::nullopt, std::nullopt, "shard_owner_silent",
                      std::chrono::seconds(1)});
}

void run_once_service::receive_claim_response(const wire::claim_answer& message) {
  response_received(message.id, from_message(message));
}

void run_once_service::receive_claim_request(const instance_name& from,
                                             const wire::claim_request& request) {
  if (!claims_.owns(shard_of(request.operation))) {
    // The directories of the two instances differ for a moment. The requester repeats its request,
    // to this instance or to the one that it then takes for the owner.
    return;
  }
  const remote_request identity{from, mesh_.incarnation_of(from), request.id};
  const auto [entry, added] = remote_requests_.try_emplace(identity);
  if (!added) {
    if (entry->second.response.has_value()) {
      mesh_.send(from, to_message(request.id, *entry->second.response));
    }
    return;
  }
  entry->second.received_at = shared_.loop.now();
  const ticket_number ticket = next_ticket_++;
  claim_callbacks_[ticket] = [this, identity](const claim_response& response) {
    respond_to_remote_request(identity, response);
  };
  const claim_parameters parameters{request.operation, request.body_digest,
                                    wall_time(std::chrono::milliseconds(request.expires_at_ms)),
                                    request.retention_days};
  apply(claims_.request_claim(ticket, parameters, read_clock()));
}

void run_once_service::respond_to_remote_request(const remote_request& request,
                                                 const claim_response& response) {
  const auto entry = remote_requests_.find(request);
  const bool sent = mesh_.send(request.from, to_message(request.id, response));
  if (entry == remote_requests_.end()) {
    return;
  }
  entry->second.response = response;
  if (!sent && response.granted.has_value()) {
    // The grant was not written to any link. The claim is released, since the operation would
    // otherwise end in doubt if the requester has died. A repeat of the request is refused as not
    // run.
    const claim undelivered_claim = *response.granted;
    entry->second.response =
        claim_response{claim_decision::refused, std::nullopt, std::nullopt, "requester_unreachable",
                       std::chrono::milliseconds(200)};
    complete(undelivered_claim, verdict::not_run, std::nullopt);
  }
}

void run_once_service::peer_established(const instance_name& peer) {
  for (auto& [id, pending] : pending_requests_) {
    if (pending.owner == peer) {
      pending.sent = false;
    }
  }
  review_requests();
}

void run_once_service::review_requests() {
  std::vector<wire::request_id> due;
  for (const auto& [id, pending] : pending_requests_) {
    const auto owner = claims_.owner_of(pending.parameters.operation);
    const bool remote = pending.owner != shared_.options.instance.name;
    const bool resend_due = remote && pending.next_resend <= shared_.loop.now();
    if (!pending.sent || resend_due || (owner.has_value() && *owner != pending.owner)) {
      due.push_back(id);
    }
  }
  for (const wire::request_id id : due) {
    if (pending_requests_.contains(id)) {
      send_request(id);
    }
  }
  const time_point oldest = shared_.loop.now() - remote_response_retention;
  const std::int64_t wall_ms = event_loop::wall_now().time_since_epoch().count();
  const std::int64_t retention_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(remote_response_retention).count();
  std::erase_if(used_claims_,
                [&](const auto& entry) { return entry.second + retention_ms < wall_ms; });
  std::erase_if(remote_requests_,
                [&](const auto& entry) { return entry.second.received_at < oldest; });
}

void run_once_service::complete(const claim& granted_claim, verdict outcome,
                                std::optional<recorded_response> response) {
  const wire::request_id id = next_request_id_++;
  pending_completion& completion = pending_completions_[id];
  completion.granted_claim = granted_claim;
  completion.outcome = outcome;
  completion.response = std::move(response);
  completion.backoff = initial_completion_backoff;
  send_completion(id, completion);
}

void run_once_service::send_completion(wire::request_id id, pending_completion& completion) {
  completion.next_attempt =
      shared_.loop.now() + completion.backoff + shared_.random.up_to(completion.backoff);
  completion.backoff = std::min(2 * completion.backoff, max_completion_backoff);
  const auto owner = claims_.owner_of(completion.granted_claim.operation);
  if (!owner.has_value()) {
    return;
  }
  if (*owner != shared_.options.instance.name) {
    if (!mesh_.send(*owner, wire::claim_complete{id, completion.granted_claim.id,
                                                 completion.granted_claim.operation,
                                                 completion.outcome, completion.response})) {
      mesh_.ensure_link(*owner);
    }
    return;
  }
  const ticket_number ticket = next_ticket_++;
  completion_callbacks_[ticket] = [this, id](const answer_completion& result) {
    completion_acknowledged(id, result.recorded, result.final);
  };
  const pending_completion copy = completion;
  apply(claims_.complete(ticket, copy.granted_claim.id, copy.granted_claim.operation, copy.outcome,
                         copy.response, read_clock()));
}

void run_once_service::receive_completion(const instance_name& from,
                                          const wire::claim_complete& completion) {
  const ticket_number ticket = next_ticket_++;
  completion_callbacks_[ticket] = [this, from,
                                   id = completion.id](const answer_completion& result) {
    mesh_.send(from, wire::claim_complete_answer{id, result.recorded, result.final});
  };
  apply(claims_.complete(ticket, completion.claim, completion.operation, completion.outcome,
                         completion.answer, read_clock()));
}

void run_once_service::receive_completion_response(const wire::claim_complete_answer& message) {
  completion_acknowledged(message.id, message.recorded, message.final);
}

void run_once_service::completion_acknowledged(wire::request_id id, bool recorded, bool final) {
  const auto found = pending_completions_.find(id);
  if (found == pending_completions_.end()) {
    return;
  }
  if (!recorded && final) {
    LOG_EVENT(WARNING, "completion_not_accepted")
        << field("action", found->second.granted_claim.operation.action)
        << field("claim", found->second.granted_claim.id);
  }
  if (recorded || final) {
    pending_completions_.erase(found);
  }
}

void run_once_service::resolve(const operation_key& operation,
                               const operation_resolution& resolution, resolution_callback done) {
  const ticket_number ticket = next_ticket_++;
  resolution_callbacks_[ticket] = std::move(done);
  apply(claims_.resolve(ticket, operation, resolution, read_clock()));
}

void run_once_service::tick() {
  apply(claims_.tick(read_clock()));
  review_requests();
  review_completions();
}

void run_once_service::review_completions() {
  const time_point now = shared_.loop.now();
  std::vector<wire::request_id> due;
  for (const auto& [id, completion] : pending_completions_) {
    if (completion.next_attempt <= now) {
      due.push_back(id);
    }
  }
  for (const wire::request_id id : due) {
    const auto found = pending_completions_.find(id);
    if (found != pending_completions_.end()) {
      send_completion(id, found->second);
    }
  }
}

void run_once_service::apply(const shard_effects& effects) {
  for (const shard_effect& effect : effects) {
    std::visit([this](const auto& concrete_effect) { apply_effect(concrete_effect); }, effect);
  }
}

void run_once_service::apply_effect(const create_object& effect) {
  platform_.create_if_absent(log_kind, effect.name, effect.content,
                             [this, name = effect.name](const auto& result) {
                               if (result.outcome == platform_outcome::ok) {
                                 apply(claims_.object_created(name, read_clock()));
                               } else if (result.outcome == platform_outcome::not_applied) {
                                 apply(claims_.object_unavailable(name, read_clock()));
                               } else if (result.outcome == platform_outcome::conflict) {
                                 read_existing(name);
                               } else {
                                 apply(claims_.object_result_unknown(name, read_clock()));
                               }
                             });
}

void run_once_service::read_existing(const std::string& name) {
  platform_.read(log_kind, name, [this, name](const platform_result& result) {
    if (result.outcome == platform_outcome::ok) {
      apply(claims_.object_exists(name, result.object.value, read_clock()));
    } else {
      apply(claims_.object_result_unknown(name, read_clock()));
    }
  });
}

void run_once_service::apply_effect(const read_object& effect) {
  platform_.read(log_kind, effect.name, [this, name = effect.name](const auto& result) {
    const clock_reading at = read_clock();
    if (result.outcome == platform_outcome::ok) {
      apply(claims_.object_read(name, result.object.value, result.object.version, at));
    } else if (result.outcome == platform_outcome::absent) {
      apply(claims_.object_read(name, std::nullopt, 0, at));
    } else if (result.outcome == platform_outcome::not_applied) {
      apply(claims_.object_unavailable(name, at));
    } else {
      apply(claims_.object_result_unknown(name, at));
    }
  });
}

void run_once_service::apply_effect(const write_object& effect) {
  const auto done = [this, name = effect.name](const platform_result& result) {
    const clock_reading at = read_clock();
    if (result.outcome == platform_outcome::ok) {
      apply(claims_.object_written(name, result.object.version, at));
    } else if (result.outcome == platform_outcome::conflict) {
      apply(claims_.object_changed(name, at));
    } else if (result.outcome == platform_outcome::not_applied) {
      apply(claims_.object_unavailable(name, at));
    } else {
      apply(claims_.object_result_unknown(name, at));
    }
  };
  if (effect.expected == 0) {
    platform_.create_if_absent(log_kind, effect.name, effect.content, done);
  } else {
    platform_.update_if_version(log_kind, effect.name, effect.expected, effect.content, done);
  }
}

void run_once_service::apply_effect(const delete_objects& effect) {
  for (const std::string& name : effect.names) {
    platform_.remove(log_kind, name, [](const platform_result&) {});
  }
}

void run_once_service::apply_effect(const answer_claim& effect) {
  shared_.counters.count_claim(std::string(to_string(effect.response.decision)));
  auto node = claim_callbacks_.extract(effect.ticket);
  if (!node.empty()) {
    node.mapped()(effect.response);
  }
}

void run_once_service::apply_effect(const answer_completion& effect) {
  auto node = completion_callbacks_.extract(effect.ticket);
  if (!node.empty()) {
    node.mapped()(effect);
  }
}

void run_once_service::apply_effect(const answer_resolution& effect) {
  auto node = resolution_callbacks_.extract(effect.ticket);
  if (!node.empty()) {
    node.mapped()(effect.resolved, effect.reason);
  }
}

}  // namespace crocusdoor

#include "daemon/run_once_service.h"

#include <algorithm>
#include <utility>

#include "daemon/event_log.h"
#include "run_once/shard_directory.h"

namespace crocusdoor {

namespace {

const std::string log_kind = "run-once";

constexpr duration tick_interval = std::chrono::milliseconds(20);
constexpr duration first_completion_pause = std::chrono::milliseconds(100);
constexpr duration longest_completion_pause = std::chrono::seconds(5);
constexpr duration request_repeat_interval = std::chrono::milliseconds(300);
/// How long the answer to a claim request is kept for a repeat of the request. Longer than the
/// detection of a silent link and the opening of a new one.
constexpr duration remote_request_age = std::chrono::seconds(60);

/// Keeps all shards together at about 260 writes/s, below the several hundred that the platform
/// accepts.
constexpr duration shard_write_interval = std::chrono::milliseconds(31);

shard_log_settings make_shard_settings(const settings& options) {
  shard_log_settings result;
  result.write_interval = shard_write_interval;
  result.clock_skew = options.timing.clock_skew_limit_ms;
  return result;
}

wire::claim_answer to_message(wire::request_id id, const claim_reply& reply) {
  return {id,
          reply.decision,
          reply.granted,
          reply.answer,
          reply.reason,
          std::chrono::ceil<std::chrono::milliseconds>(reply.retry_after)};
}

claim_reply from_message(const wire::claim_answer& answer) {
  return {answer.decision, answer.granted, answer.answer, answer.reason, answer.retry_after_ms};
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
      [this](const auto&, const auto& content) { receive_claim_answer(content); });
  dispatcher.on<wire::claim_complete>(
      [this](const auto& from, const auto& content) { receive_completion(from, content); });
  dispatcher.on<wire::claim_complete_answer>(
      [this](const auto&, const auto& content) { receive_completion_answer(content); });
  timer_ = shared_.loop.every(tick_interval, [this] { tick(); });
}

clock_reading run_once_service::read_clock() const {
  return {shared_.loop.now(), event_loop::wall_now()};
}

void run_once_service::set_live_members(const std::vector<instance_name>& live) {
  apply(claims_.set_live_members(live, read_clock()));
}

void run_once_service::request_claim(const claim_parameters& parameters, claim_callback done) {
  const wire::request_id id = next_request_++;
  pending_request& pending = requests_[id];
  pending.parameters = parameters;
  pending.done = std::move(done);
  const duration left = parameters.expires_at - event_loop::wall_now();
  pending.timeout = shared_.loop.after(left, [this, id] { request_timed_out(id); });
  send_request(id);
}

void run_once_service::send_request(wire::request_id id) {
  pending_request& pending = requests_.at(id);
  const auto owner = claims_.owner_of(pending.parameters.operation);
  if (!owner.has_value()) {
    return;
  }
  pending.owner = *owner;
  const claim_parameters& parameters = pending.parameters;
  if (*owner == shared_.options.instance.name) {
    pending.sent = true;
    const ticket_number ticket = next_ticket_++;
    claim_tickets_[ticket] = [this, id](const claim_reply& reply) { request_answered(id, reply); };
    apply(claims_.request_claim(ticket, parameters, read_clock()));
    return;
  }
  pending.next_repeat = shared_.loop.now() + request_repeat_interval;
  pending.sent =
      mesh_.send(*owner, wire::claim_request{id, parameters.operation, parameters.body_digest,
                                             parameters.expires_at.time_since_epoch().count(),
                                             parameters.retention_days});
  if (!pending.sent) {
    mesh_.ensure_link(*owner);
  }
}

void run_once_service::request_answered(wire::request_id id, const claim_reply& reply) {
  auto node = requests_.extract(id);
  const bool granted = reply.decision == claim_decision::granted && reply.granted.has_value();
  if (!node.empty()) {
    if (granted) {
      used_claims_[reply.granted->id] = reply.granted->expires_at_ms;
    }
    node.mapped().done(reply);
  } else if (granted && !used_claims_.contains(reply.granted->id)) {
    // Nobody waits for this claim any more, so nothing will run under it.
    complete(*reply.granted, verdict::not_run, std::nullopt);
  }
}

void run_once_service::request_timed_out(wire::request_id id) {
  auto node = requests_.extract(id);
  if (node.empty()) {
    return;
  }
  LOG_EVENT(WARNING, "claim_unanswered")
      << field("action", node.mapped().parameters.operation.action)
      << field("owner", node.mapped().owner);
  // The claim may have been granted, but this instance will not use it: nothing has run.
  node.mapped().done({claim_decision::refused, std::nullopt, std::nullopt, "shard_owner_silent",
                      std::chrono::seconds(1)});
}

void run_once_service::receive_claim_answer(const wire::claim_answer& answer) {
  request_answered(answer.id, from_message(answer));
}

void run_once_service::receive_claim_request(const instance_name& from,
                                             const wire::claim_request& request) {
  if (!claims_.owns(shard_of(request.operation))) {
    // The two instances see different members for a moment. The requester repeats its request, to
    // this instance or to the owner that it knows by then.
    return;
  }
  const remote_request identity{from, mesh_.incarnation_of(from), request.id};
  const auto [entry, added] = remote_requests_.try_emplace(identity);
  if (!added) {
    if (entry->second.reply.has_value()) {
      mesh_.send(from, to_message(request.id, *entry->second.reply));
    }
    return;
  }
  entry->second.received_at = shared_.loop.now();
  const ticket_number ticket = next_ticket_++;
  claim_tickets_[ticket] = [this, identity](const claim_reply& reply) {
    remote_request_answered(identity, reply);
  };
  const claim_parameters parameters{request.operation, request.body_digest,
                                    wall_time(std::chrono::milliseconds(request.expires_at_ms)),
                                    request.retention_days};
  apply(claims_.request_claim(ticket, parameters, read_clock()));
}

void run_once_service::remote_request_answered(const remote_request& request,
                                               const claim_reply& reply) {
  const auto entry = remote_requests_.find(request);
  const bool sent = mesh_.send(request.from, to_message(request.id, reply));
  if (entry == remote_requests_.end()) {
    return;
  }
  entry->second.reply = reply;
  if (!sent && reply.granted.has_value()) {
    // The grant was never written to a link. It is withdrawn, so that the operation does not end in
    // doubt if the requester has died; a repeat of the request is refused as not run.
    const claim unused = *reply.granted;
    entry->second.reply = claim_reply{claim_decision::refused, std::nullopt, std::nullopt,
                                      "requester_unreachable", std::chrono::milliseconds(200)};
    complete(unused, verdict::not_run, std::nullopt);
  }
}

void run_once_service::peer_established(const instance_name& peer) {
  for (auto& [id, pending] : requests_) {
    if (pending.owner == peer) {
      pending.sent = false;
    }
  }
  review_requests();
}

void run_once_service::review_requests() {
  std::vector<wire::request_id> unsent;
  for (const auto& [id, pending] : requests_) {
    const auto owner = claims_.owner_of(pending.parameters.operation);
    const bool remote = pending.owner != shared_.options.instance.name;
    const bool overdue = remote && pending.next_repeat <= shared_.loop.now();
    if (!pending.sent || overdue || (owner.has_value() && *owner != pending.owner)) {
      unsent.push_back(id);
    }
  }
  for (const wire::request_id id : unsent) {
    if (requests_.contains(id)) {
      send_request(id);
    }
  }
  const time_point oldest = shared_.loop.now() - remote_request_age;
  const std::int64_t wall_ms = event_loop::wall_now().time_since_epoch().count();
  const std::int64_t repeat_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(remote_request_age).count();
  std::erase_if(used_claims_,
                [&](const auto& entry) { return entry.second + repeat_ms < wall_ms; });
  std::erase_if(remote_requests_,
                [&](const auto& entry) { return entry.second.received_at < oldest; });
}

void run_once_service::complete(const claim& held, verdict outcome,
                                std::optional<recorded_answer> answer) {
  const wire::request_id id = next_request_++;
  pending_completion& one = completions_[id];
  one.held = held;
  one.outcome = outcome;
  one.answer = std::move(answer);
  one.pause = first_completion_pause;
  send_completion(id, one);
}

void run_once_service::send_completion(wire::request_id id, pending_completion& one) {
  one.next_attempt = shared_.loop.now() + one.pause + shared_.random.up_to(one.pause);
  one.pause = std::min(2 * one.pause, longest_completion_pause);
  const auto owner = claims_.owner_of(one.held.operation);
  if (!owner.has_value()) {
    return;
  }
  if (*owner != shared_.options.instance.name) {
    if (!mesh_.send(*owner, wire::claim_complete{id, one.held.id, one.held.operation, one.outcome,
                                                 one.answer})) {
      mesh_.ensure_link(*owner);
    }
    return;
  }
  const ticket_number ticket = next_ticket_++;
  completion_tickets_[ticket] = [this, id](const answer_completion& result) {
    completion_answered(id, result.recorded, result.final);
  };
  const pending_completion copy = one;
  apply(claims_.complete(ticket, copy.held.id, copy.held.operation, copy.outcome, copy.answer,
                         read_clock()));
}

void run_once_service::receive_completion(const instance_name& from,
                                          const wire::claim_complete& completion) {
  const ticket_number ticket = next_ticket_++;
  completion_tickets_[ticket] = [this, from, id = completion.id](const answer_completion& result) {
    mesh_.send(from, wire::claim_complete_answer{id, result.recorded, result.final});
  };
  apply(claims_.complete(ticket, completion.claim, completion.operation, completion.outcome,
                         completion.answer, read_clock()));
}

void run_once_service::receive_completion_answer(const wire::claim_complete_answer& answer) {
  completion_answered(answer.id, answer.recorded, answer.final);
}

void run_once_service::completion_answered(wire::request_id id, bool recorded, bool final) {
  const auto found = completions_.find(id);
  if (found == completions_.end()) {
    return;
  }
  if (!recorded && final) {
    LOG_EVENT(WARNING, "completion_not_accepted")
        << field("action", found->second.held.operation.action)
        << field("claim", found->second.held.id);
  }
  if (recorded || final) {
    completions_.erase(found);
  }
}

void run_once_service::resolve(const operation_key& operation,
                               const operation_resolution& resolution, resolution_callback done) {
  const ticket_number ticket = next_ticket_++;
  resolution_tickets_[ticket] = std::move(done);
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
  for (const auto& [id, one] : completions_) {
    if (one.next_attempt <= now) {
      due.push_back(id);
    }
  }
  for (const wire::request_id id : due) {
    const auto found = completions_.find(id);
    if (found != completions_.end()) {
      send_completion(id, found->second);
    }
  }
}

void run_once_service::apply(const shard_effects& effects) {
  for (const shard_effect& effect : effects) {
    std::visit([this](const auto& one) { apply_one(one); }, effect);
  }
}

void run_once_service::apply_one(const create_object& effect) {
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

void run_once_service::apply_one(const read_object& effect) {
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

void run_once_service::apply_one(const write_object& effect) {
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

void run_once_service::apply_one(const delete_objects& effect) {
  for (const std::string& name : effect.names) {
    platform_.remove(log_kind, name, [](const platform_result&) {});
  }
}

void run_once_service::apply_one(const answer_claim& effect) {
  shared_.counters.count_claim(std::string(to_string(effect.reply.decision)));
  auto node = claim_tickets_.extract(effect.ticket);
  if (!node.empty()) {
    node.mapped()(effect.reply);
  }
}

void run_once_service::apply_one(const answer_completion& effect) {
  auto node = completion_tickets_.extract(effect.ticket);
  if (!node.empty()) {
    node.mapped()(effect);
  }
}

void run_once_service::apply_one(const answer_resolution& effect) {
  auto node = resolution_tickets_.extract(effect.ticket);
  if (!node.empty()) {
    node.mapped()(effect.resolved, effect.reason);
  }
}

}  // namespace crocusdoor

#include "daemon/run_once_service.h"

#include <algorithm>
#include <utility>

#include "daemon/event_log.h"

namespace crocusdoor {

namespace {

const std::string log_kind = "run-once";

constexpr duration tick_interval = std::chrono::milliseconds(20);
constexpr duration first_completion_pause = std::chrono::milliseconds(100);
constexpr duration longest_completion_pause = std::chrono::seconds(5);

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
      claims_(shared.options.instance.name, shared.random) {
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
  const auto owner = claims_.owner_of(parameters.operation);
  if (!owner.has_value()) {
    done({claim_decision::refused, std::nullopt, std::nullopt, "no_shard_owner",
          std::chrono::seconds(1)});
    return;
  }
  if (*owner == shared_.options.instance.name) {
    const ticket_number ticket = next_ticket_++;
    claim_tickets_[ticket] = std::move(done);
    apply(claims_.request_claim(ticket, parameters, read_clock()));
    return;
  }
  const wire::request_id id = next_request_++;
  const wire::claim_request request{id, parameters.operation, parameters.body_digest,
                                    parameters.expires_at.time_since_epoch().count(),
                                    parameters.retention_days};
  if (!mesh_.send(*owner, request)) {
    mesh_.ensure_link(*owner);
    done({claim_decision::refused, std::nullopt, std::nullopt, "shard_owner_unreachable",
          std::chrono::milliseconds(200)});
    return;
  }
  pending_request& pending = requests_[id];
  pending.done = std::move(done);
  pending.owner = *owner;
  const duration left = parameters.expires_at - event_loop::wall_now();
  pending.timeout =
      shared_.loop.after(left, [this, id, parameters] { request_timed_out(id, parameters); });
}

void run_once_service::request_timed_out(wire::request_id id, const claim_parameters& parameters) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  LOG_EVENT(WARNING, "claim_unanswered")
      << field("action", parameters.operation.action) << field("owner", found->second.owner);
  const claim_callback done = std::move(found->second.done);
  requests_.erase(found);
  // The claim may have been granted, but this instance will not use it: nothing has run.
  done({claim_decision::refused, std::nullopt, std::nullopt, "shard_owner_silent",
        std::chrono::seconds(1)});
}

void run_once_service::receive_claim_answer(const wire::claim_answer& answer) {
  const auto found = requests_.find(answer.id);
  if (found == requests_.end()) {
    if (answer.decision == claim_decision::granted && answer.granted.has_value()) {
      complete(*answer.granted, verdict::not_run, std::nullopt);
    }
    return;
  }
  const claim_callback done = std::move(found->second.done);
  requests_.erase(found);
  done(from_message(answer));
}

void run_once_service::receive_claim_request(const instance_name& from,
                                             const wire::claim_request& request) {
  const ticket_number ticket = next_ticket_++;
  claim_tickets_[ticket] = [this, from, id = request.id](const claim_reply& reply) {
    const bool sent = mesh_.send(from, to_message(id, reply));
    if (!sent && reply.granted.has_value()) {
      // The answer was never written, so nobody can use the claim.
      complete(*reply.granted, verdict::not_run, std::nullopt);
    }
  };
  const claim_parameters parameters{request.operation, request.body_digest,
                                    wall_time(std::chrono::milliseconds(request.expires_at_ms)),
                                    request.retention_days};
  apply(claims_.request_claim(ticket, parameters, read_clock()));
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

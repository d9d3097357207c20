// Handles requests of callers, targets and operators; shard_log.cpp handles ownership and the log.
#include <algorithm>
#include <iterator>
#include <utility>

#include "run_once/shard_log.h"

namespace crocusdoor {

namespace {

claim_response make_response(claim_decision decision, std::string reason,
                             duration retry_after = {}) {
  claim_response response;
  response.decision = decision;
  response.reason = std::move(reason);
  response.retry_after = retry_after;
  return response;
}

recorded_response substitute_response(const std::string& explanation) {
  // 410 (Gone): the operation ran, but its own response is not available.
  return {410, "application/json",
          byte_string{json{{"outcome", "ran"}, {"message", explanation}}.dump()}};
}

std::int64_t milliseconds_of(wall_time wall) {
  return wall.time_since_epoch().count();
}

}  // namespace

shard_effects shard_log::request_claim(ticket_number ticket, const claim_parameters& parameters,
                                       clock_reading at) {
  shard_effects effects;
  handle_claim_request({ticket, parameters, at.now + (parameters.expires_at - at.wall)}, at,
                       effects);
  return finish(at, std::move(effects));
}

void shard_log::handle_claim_request(const waiting_claim& request, clock_reading at,
                                     shard_effects& effects) {
  const auto answer = [&](claim_response response) {
    effects.emplace_back(answer_claim{request.ticket, std::move(response)});
  };
  if (request.parameters.expires_at <= at.wall) {
    answer(make_response(claim_decision::refused, "the deadline of the request has passed"));
    return;
  }
  if (phase_ == phase::not_owner) {
    answer(make_response(claim_decision::refused, "this instance does not own the shard",
                         settings_.backoff_first));
    return;
  }
  if (phase_ != phase::active) {
    if (platform_down(at.now) || early_claims_.size() >= settings_.pending_limit) {
      answer(make_response(claim_decision::refused, "the run-once log cannot be read",
                           retry_delay(at.now)));
    } else {
      early_claims_.push_back(request);
    }
    return;
  }
  const operation_record* record = table_.find(request.parameters.operation);
  if (record != nullptr && record->progress != operation_progress::released) {
    handle_known_operation(request, *record, at, effects);
    return;
  }
  const digest* claimed_body = pending_.claimed_body(request.parameters.operation);
  if (claimed_body == nullptr) {
    add_claim(request, at, effects);
  } else if (*claimed_body != request.parameters.body_digest) {
    answer(make_response(claim_decision::conflict, "the key is in use with another body"));
  } else {
    waiters_.emplace(request.parameters.operation, request);
  }
}

void shard_log::handle_known_operation(const waiting_claim& request, const operation_record& record,
                                       clock_reading at, shard_effects& effects) {
  claim_response response;
  if (record.body_digest != request.parameters.body_digest) {
    response = make_response(claim_decision::conflict, "the key was used before with another body");
  } else if (record.progress == operation_progress::done) {
    response.decision = claim_decision::answered;
    response.answer = record.answer.has_value()
                          ? *record.answer
                          : substitute_response("the operation ran; its answer was not recorded");
  } else if (in_doubt(record, at.wall)) {
    response = make_response(claim_decision::in_doubt,
                             "an earlier request may have run; an operator has to resolve it");
  } else {
    waiters_.emplace(request.parameters.operation, request);
    return;
  }
  effects.emplace_back(answer_claim{request.ticket, std::move(response)});
}

void shard_log::add_claim(const waiting_claim& request, clock_reading at, shard_effects& effects) {
  if (platform_down(at.now) || pending_.size() >= settings_.pending_limit) {
    const std::string reason = platform_down(at.now) ? "the run-once log cannot be written"
                                                     : "too many run-once requests are waiting";
    effects.emplace_back(answer_claim{
        request.ticket, make_response(claim_decision::refused, reason, retry_delay(at.now))});
    return;
  }
  const claim_parameters& parameters = request.parameters;
  log_entry entry;
  entry.kind = entry_kind::claim;
  entry.operation = parameters.operation;
  entry.id = claim_id(next_identifier());
  entry.body_digest = parameters.body_digest;
  entry.expires_at_ms = milliseconds_of(parameters.expires_at);
  entry.retention_days = parameters.retention_days;
  entry.at_ms = milliseconds_of(at.wall);
  pending_.add({std::move(entry), request.ticket, request.deadline});
}

shard_effects shard_log::complete(ticket_number ticket, const claim_id& id,
                                  const operation_key& operation, verdict outcome,
                                  const std::optional<recorded_response>& answer,
                                  clock_reading at) {
  log_entry entry;
  entry.kind = entry_kind::completion;
  entry.operation = operation;
  entry.id = id;
  entry.outcome = outcome;
  entry.at_ms = milliseconds_of(at.wall);
  if (outcome == verdict::ran) {
    const bool fits =
        answer.has_value() && answer->body.bytes.size() <= settings_.answer_limit_bytes;
    entry.answer = fits ? answer : std::nullopt;
  }
  shard_effects effects;
  handle_completion({ticket, std::move(entry)}, at, effects);
  return finish(at, std::move(effects));
}

void shard_log::handle_completion(const waiting_completion& completion, clock_reading /*at*/,
                                  shard_effects& effects) {
  const auto answer = [&](bool recorded, bool final, std::string reason) {
    effects.emplace_back(answer_completion{completion.ticket, recorded, final, std::move(reason)});
  };
  if (phase_ == phase::not_owner) {
    answer(false, false, "this instance does not own the shard");
  } else if (phase_ != phase::active) {
    early_completions_.push_back(completion);
  } else if (table_.reflects(completion.entry)) {
    answer(true, true, "");
  } else if (!table_.accepts(completion.entry)) {
    answer(false, true, "the claim is not open");
  } else {
    pending_.add({completion.entry, completion.ticket, {}});
  }
}

shard_effects shard_log::resolve(ticket_number ticket, const operation_key& operation,
                                 const operation_resolution& resolution, clock_reading at) {
  shard_effects effects;
  const auto refuse = [&](std::string reason) {
    effects.emplace_back(answer_resolution{ticket, false, std::move(reason)});
    return finish(at, std::move(effects));
  };
  if (phase_ != phase::active) {
    return refuse("this instance does not own the shard, or cannot read its log");
  }
  const operation_record* record = table_.find(operation);
  if (record == nullptr || !in_doubt(*record, at.wall)) {
    return refuse(record == nullptr ? "no such operation" : "the operation is not in doubt");
  }
  const operation_status status = status_of(*record, at.wall);
  if (milliseconds_of(at.wall) < status.resolvable_at_ms) {
    return refuse("the claim may still be in use; repeat in " +
                  std::to_string(status.resolvable_at_ms - milliseconds_of(at.wall)) + " ms");
  }
  log_entry entry;
  entry.kind = entry_kind::resolution;
  entry.operation = operation;
  entry.id = record->id;
  entry.outcome = resolution.ran ? verdict::ran : verdict::not_run;
  entry.at_ms = milliseconds_of(at.wall);
  if (resolution.ran) {
    entry.answer =
        resolution.answer.value_or(substitute_response("an operator found that the operation ran"));
  }
  pending_.add({std::move(entry), ticket, {}});
  return finish(at, std::move(effects));
}

void shard_log::reevaluate_waiters(const operation_key& operation, clock_reading at,
                                   shard_effects& effects) {
  const auto [first, last] = waiters_.equal_range(operation);
  std::vector<waiting_claim> requests;
  std::transform(first, last, std::back_inserter(requests),
                 [](const auto& entry) { return entry.second; });
  waiters_.erase(first, last);
  for (const waiting_claim& request : requests) {
    handle_claim_request(request, at, effects);
  }
}

void shard_log::refuse_new_claims(const std::string& reason, clock_reading at,
                                  shard_effects& effects) {
  const duration retry_after = retry_delay(at.now);
  for (const pending_change& change :
       pending_.withdraw_claims([](const pending_change&) { return true; })) {
    refuse_claim(change, reason, retry_after, effects);
  }
  for (const waiting_claim& request : std::exchange(early_claims_, {})) {
    effects.emplace_back(
        answer_claim{request.ticket, make_response(claim_decision::refused, reason, retry_after)});
  }
}

void shard_log::refuse_claim(const pending_change& change, const std::string& reason,
                             duration retry_after, shard_effects& effects) {
  const claim_response response = make_response(claim_decision::refused, reason, retry_after);
  if (change.ticket.has_value()) {
    effects.emplace_back(answer_claim{*change.ticket, response});
  }
  // The requests that wait for the outcome of this claim have not run either, and none will run
  // under it.
  const auto [first, last] = waiters_.equal_range(change.entry.operation);
  for (auto waiter = first; waiter != last; ++waiter) {
    effects.emplace_back(answer_claim{waiter->second.ticket, response});
  }
  waiters_.erase(first, last);
}

void shard_log::expire_requests(clock_reading at, shard_effects& effects) {
  const auto expired = [&](const auto& request) { return request.deadline <= at.now; };
  for (const pending_change& change : pending_.withdraw_claims(expired)) {
    effects.emplace_back(answer_claim{
        *change.ticket, make_response(claim_decision::refused,
                                      "the deadline passed before the claim was durable")});
    reevaluate_waiters(change.entry.operation, at, effects);
  }
  std::erase_if(waiters_, [&](const auto& waiter) {
    if (expired(waiter.second)) {
      effects.emplace_back(answer_claim{
          waiter.second.ticket, make_response(claim_decision::in_progress,
                                              "an earlier request with the same key is running")});
    }
    return expired(waiter.second);
  });
  std::erase_if(early_claims_, [&](const waiting_claim& request) {
    if (expired(request)) {
      effects.emplace_back(
          answer_claim{request.ticket,
                       make_response(claim_decision::refused, "the run-once log is not loaded")});
    }
    return expired(request);
  });
}

bool shard_log::in_doubt(const operation_record& record, wall_time wall) const {
  if (record.progress == operation_progress::unknown) {
    return true;
  }
  const std::int64_t skew_ms = settings_.clock_skew.count();
  return record.progress == operation_progress::running &&
         (record.epoch != epoch_ || milliseconds_of(wall) >= record.expires_at_ms + skew_ms);
}

operation_status shard_log::status_of(const operation_record& record, wall_time wall) const {
  return {record, in_doubt(record, wall), record.expires_at_ms + settings_.clock_skew.count()};
}

std::vector<operation_status> shard_log::operations(wall_time wall) const {
  std::vector<operation_status> result;
  if (phase_ == phase::active) {
    table_.for_each(
        [&](const operation_record& record) { result.push_back(status_of(record, wall)); });
  }
  return result;
}

std::optional<operation_status> shard_log::find_operation(const operation_key& operation,
                                                          wall_time wall) const {
  const operation_record* record = phase_ == phase::active ? table_.find(operation) : nullptr;
  return record == nullptr ? std::nullopt : std::optional(status_of(*record, wall));
}

}  // namespace crocusdoor

#include "run_once/object_per_action.h"

#include <utility>

#include "core/digest.h"

namespace crocusdoor {

namespace {

std::string object_name(const operation_key& operation) {
  return "run-once-action/" + digest_of({operation.action.str(), operation.key.str()}).str();
}

/// Failed attempts after which a completion is answered as not recorded, and a claim that may have
/// been written is refused.
constexpr std::uint32_t max_failures = 5;

}  // namespace

object_per_action::object_per_action(random_source& random) : seed_(random.identifier()) {}

shard_effects object_per_action::request_claim(ticket_number ticket,
                                               const claim_parameters& parameters,
                                               clock_reading /*at*/) {
  operation_record record;
  record.operation = parameters.operation;
  record.id = claim_id(digest_of({seed_, std::to_string(++identifier_count_)}).str());
  record.body_digest = parameters.body_digest;
  record.expires_at_ms = parameters.expires_at.time_since_epoch().count();
  record.retention_days = parameters.retention_days;
  return add(object_name(parameters.operation), {ticket, claim_task{std::move(record)}});
}

shard_effects object_per_action::complete(ticket_number ticket, const claim_id& id,
                                          const operation_key& operation, verdict outcome,
                                          const std::optional<recorded_response>& answer,
                                          clock_reading at) {
  return add(object_name(operation),
             {ticket, completion_task{id, outcome, answer, at.wall.time_since_epoch().count()}});
}

shard_effects object_per_action::add(const std::string& name, task new_task) {
  shard_effects effects;
  auto& queue = tasks_[name];
  queue.push_back(std::move(new_task));
  if (queue.size() == 1) {
    start_task(name, queue.front(), effects);
  }
  return effects;
}

void object_per_action::start_task(const std::string& name, const task& next_task,
                                   shard_effects& effects) const {
  if (const auto* claim_work = std::get_if<claim_task>(&next_task.work)) {
    effects.emplace_back(create_object{name, to_object_content(claim_work->record)});
  } else {
    effects.emplace_back(read_object{name});
  }
}

shard_effects object_per_action::finish_task(const std::string& name, shard_effect answer) {
  shard_effects effects{std::move(answer)};
  auto& queue = tasks_[name];
  queue.pop_front();
  if (queue.empty()) {
    tasks_.erase(name);
  } else {
    start_task(name, queue.front(), effects);
  }
  return effects;
}

object_per_action::task* object_per_action::current_task(const std::string& name) {
  const auto found = tasks_.find(name);
  return found == tasks_.end() ? nullptr : &found->second.front();
}

shard_effects object_per_action::current_written(const std::string& name) {
  const task* current = current_task(name);
  if (current == nullptr) {
    return {};
  }
  if (const auto* claim_work = std::get_if<claim_task>(&current->work)) {
    const operation_record& record = claim_work->record;
    claim_response response;
    response.decision = claim_decision::granted;
    response.granted =
        claim{record.id, record.operation, record.body_digest, 0, record.expires_at_ms};
    return finish_task(name, answer_claim{current->ticket, std::move(response)});
  }
  return finish_task(name, answer_completion{current->ticket, true, true, ""});
}

shard_effects object_per_action::object_created(const std::string& name, clock_reading /*at*/) {
  return current_written(name);
}

shard_effects object_per_action::object_written(const std::string& name, object_version /*version*/,
                                                clock_reading /*at*/) {
  return current_written(name);
}

shard_effects object_per_action::object_exists(const std::string& name,
                                               const std::string& /*content*/,
                                               clock_reading /*at*/) {
  // If the earlier claim was released, the object is replaced, which needs its version.
  return {read_object{name}};
}

shard_effects object_per_action::object_changed(const std::string& name, clock_reading /*at*/) {
  return {read_object{name}};
}

shard_effects object_per_action::object_read(const std::string& name,
                                             const std::optional<std::string>& content,
                                             object_version version, clock_reading at) {
  task* current = current_task(name);
  if (current == nullptr) {
    return {};
  }
  const bool is_claim = std::holds_alternative<claim_task>(current->work);
  if (!content.has_value() && is_claim) {
    shard_effects effects;
    start_task(name, *current, effects);
    return effects;
  }
  const auto found = try_from_object_content<operation_record>(content.value_or(""));
  if (!found.has_value() && is_claim) {
    return finish_task(
        name, answer_claim{current->ticket, {claim_decision::in_doubt, {}, {}, "damaged object"}});
  }
  if (!found.has_value()) {
    return finish_task(name, answer_completion{current->ticket, false, true, "no such claim"});
  }
  return is_claim ? claim_read(name, *current, *found, version, at)
                  : completion_read(name, *current, *found, version);
}

shard_effects object_per_action::claim_read(const std::string& name, task& current,
                                            const operation_record& found, object_version version,
                                            clock_reading at) {
  const operation_record& requested = std::get<claim_task>(current.work).record;
  if (found.id == requested.id) {
    return current_written(name);
  }
  claim_response response;
  if (found.progress == operation_progress::released) {
    return {write_object{name, to_object_content(requested), version}};
  }
  if (found.body_digest != requested.body_digest) {
    response = {claim_decision::conflict, {}, {}, "the key was used before with another body"};
  } else if (found.progress == operation_progress::done) {
    response = {claim_decision::answered, {}, found.answer, ""};
  } else if (found.progress == operation_progress::unknown ||
             at.wall.time_since_epoch().count() >= found.expires_at_ms) {
    response = {claim_decision::in_doubt, {}, {}, "an earlier request may have run"};
  } else {
    response = {claim_decision::in_progress, {}, {}, "an earlier request is running"};
  }
  return finish_task(name, answer_claim{current.ticket, std::move(response)});
}

shard_effects object_per_action::completion_read(const std::string& name, task& current,
                                                 operation_record found, object_version version) {
  const completion_task& work = std::get<completion_task>(current.work);
  const bool open = found.progress == operation_progress::running ||
                    found.progress == operation_progress::unknown;
  if (found.id != work.id || !open) {
    const bool recorded = found.id == work.id;
    return finish_task(name, answer_completion{current.ticket, recorded, true,
                                               recorded ? "" : "the claim is not open"});
  }
  found.progress = work.outcome == verdict::ran       ? operation_progress::done
                   : work.outcome == verdict::not_run ? operation_progress::released
                                                      : operation_progress::unknown;
  found.answer = work.answer;
  found.settled_at_ms = work.at_ms;
  return {write_object{name, to_object_content(found), version}};
}

shard_effects object_per_action::object_result_unknown(const std::string& name,
                                                       clock_reading /*at*/) {
  task* current = current_task(name);
  if (current == nullptr) {
    return {};
  }
  current->may_be_written = true;
  return object_unavailable(name, {});
}

shard_effects object_per_action::object_unavailable(const std::string& name, clock_reading /*at*/) {
  task* current = current_task(name);
  if (current == nullptr) {
    return {};
  }
  if (std::holds_alternative<claim_task>(current->work)) {
    if (current->may_be_written && ++current->failures < max_failures) {
      return {read_object{name}};
    }
    // The claim was not sent to the requester, so no request can be executed under it, whether or
    // not it was written.
    return finish_task(
        name,
        answer_claim{current->ticket, {claim_decision::refused, {}, {}, "the platform is down"}});
  }
  if (++current->failures < max_failures) {
    return {read_object{name}};
  }
  return finish_task(name,
                     answer_completion{current->ticket, false, false, "the platform is down"});
}

}  // namespace crocusdoor

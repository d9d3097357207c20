// Implements the steps of callers, the target and the operator; interleaving_model.cpp implements
// the choice of steps, the platform and the owners.
#include <algorithm>

#include "core/digest.h"
#include "interleaving_model.h"

namespace crocusdoor::testing {

void interleaving_world::request_claim_at(std::size_t caller_number, std::size_t owner) {
  caller& requester = callers_[caller_number];
  --requester.requests_left;
  requester.state = caller_state::waiting;
  requester.ticket = ++last_ticket_;
  const claim_parameters parameters{requester.operation, digest_of("100"),
                                    clock_.wall + options_.deadline};
  input(owner, "claim" + std::to_string(requester.ticket) + requester.operation.key.str(),
        instances_[owner].log->request_claim(requester.ticket, parameters, clock_));
}

void interleaving_world::handle_claim(const answer_claim& answer) {
  const claim_response& response = answer.response;
  ++decisions_[response.decision];
  check(answered_.insert(answer.ticket).second, "a request was answered twice");
  const auto found = std::find_if(callers_.begin(), callers_.end(), [&](const caller& candidate) {
    return candidate.ticket == answer.ticket && candidate.state == caller_state::waiting;
  });
  if (found == callers_.end()) {
    return;
  }
  found->state = caller_state::idle;
  if (response.decision == claim_decision::granted) {
    check(response.granted->operation == found->operation, "the claim is for another operation");
    found->state = caller_state::holding;
    found->held = response.granted;
  } else if (response.decision == claim_decision::answered) {
    const auto& responses = executions_[found->operation];
    check(responses.size() == 1, "an answer was repeated of an operation that did not run once");
    check(!responses.empty() &&
              (response.answer->body.bytes == responses.front() || response.answer->status == 410),
          "the recorded answer belongs to another operation");
    found->state = caller_state::finished;
  }
}

void interleaving_world::run_on_target(caller& holder) {
  if (clock_.wall.time_since_epoch().count() >= holder.held->expires_at_ms) {
    holder.state = caller_state::returning_claim;
    holder.outcome = verdict::not_run;
    return;
  }
  auto& responses = executions_[holder.operation];
  responses.push_back("answer to " + holder.held->id.str());
  check(responses.size() == 1, "an operation was executed twice");
  holder.state = caller_state::ran;
  holder.outcome = verdict::ran;
}

void interleaving_world::complete_at(std::size_t caller_number, std::size_t owner) {
  caller& holder = callers_[caller_number];
  --holder.completions_left;
  // One ticket per caller is enough, because a caller waits for one response at a time. Tickets of
  // completions are above those of claims.
  const ticket_number ticket = 1000 + caller_number;
  const bool returned_unused = holder.outcome == verdict::not_run;
  holder.state = caller_state::completing;
  input(owner, "complete" + std::to_string(caller_number) + (returned_unused ? "back" : "ran"),
        instances_[owner].log->complete(
            ticket, holder.held->id, holder.operation, holder.outcome,
            recorded_response{200, "text/plain", byte_string{"answer to " + holder.held->id.str()}},
            clock_));
}

void interleaving_world::handle_completion(const answer_completion& answer) {
  caller& holder = callers_[answer.ticket - 1000];
  const bool returned_unused = holder.outcome == verdict::not_run;
  if (answer.recorded) {
    holder.state = caller_state::idle;
  } else {
    holder.state = returned_unused ? caller_state::returning_claim : caller_state::ran;
  }
}

void interleaving_world::resolve_at(std::size_t owner) {
  const operation_key& operation = callers_[0].operation;
  const bool ran = !executions_[operation].empty();
  input(owner, ran ? "resolve ran" : "resolve not run",
        instances_[owner].log->resolve(5000, operation, {ran, std::nullopt}, clock_));
}

}  // namespace crocusdoor::testing

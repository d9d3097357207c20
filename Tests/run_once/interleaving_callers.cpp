// What callers, the target and the operator do in the model; interleaving_model.cpp holds the
// steps.
#include <algorithm>

#include "core/digest.h"
#include "interleaving_model.h"

namespace crocusdoor::testing {

void interleaving_world::request_claim_at(std::size_t caller_number, std::size_t owner) {
  caller& one = callers_[caller_number];
  --one.requests_left;
  one.state = caller_state::waiting;
  one.ticket = ++last_ticket_;
  const claim_parameters parameters{one.operation, digest_of("100"),
                                    clock_.wall + options_.deadline};
  input(owner, "claim" + std::to_string(one.ticket) + one.operation.key.str(),
        instances_[owner].log->request_claim(one.ticket, parameters, clock_));
}

void interleaving_world::handle_claim(const answer_claim& answer) {
  const claim_response& response = answer.response;
  ++decisions_[response.decision];
  check(answered_.insert(answer.ticket).second, "a request was answered twice");
  const auto found = std::find_if(callers_.begin(), callers_.end(), [&](const caller& one) {
    return one.ticket == answer.ticket && one.state == caller_state::waiting;
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
    const auto& answers = executions_[found->operation];
    check(answers.size() == 1, "an answer was repeated of an operation that did not run once");
    check(!answers.empty() &&
              (response.answer->body.bytes == answers.front() || response.answer->status == 410),
          "the recorded answer belongs to another operation");
    found->state = caller_state::finished;
  }
}

void interleaving_world::run_on_target(caller& runner) {
  if (clock_.wall.time_since_epoch().count() >= runner.held->expires_at_ms) {
    runner.state = caller_state::giving_back;
    runner.outcome = verdict::not_run;
    return;
  }
  auto& answers = executions_[runner.operation];
  answers.push_back("answer to " + runner.held->id.str());
  check(answers.size() == 1, "an operation was executed twice");
  runner.state = caller_state::ran;
  runner.outcome = verdict::ran;
}

void interleaving_world::complete_at(std::size_t caller_number, std::size_t owner) {
  caller& one = callers_[caller_number];
  --one.completions_left;
  // A holder that expects no second answer goes on; tickets of completions are above those of
  // claims.
  const ticket_number ticket = 1000 + caller_number;
  const bool back = one.outcome == verdict::not_run;
  one.state = caller_state::completing;
  input(owner, "complete" + std::to_string(caller_number) + (back ? "back" : "ran"),
        instances_[owner].log->complete(
            ticket, one.held->id, one.operation, one.outcome,
            recorded_response{200, "text/plain", byte_string{"answer to " + one.held->id.str()}},
            clock_));
}

void interleaving_world::handle_completion(const answer_completion& answer) {
  caller& one = callers_[answer.ticket - 1000];
  const bool back = one.outcome == verdict::not_run;
  if (answer.recorded) {
    one.state = caller_state::idle;
  } else {
    one.state = back ? caller_state::giving_back : caller_state::ran;
  }
}

void interleaving_world::resolve_at(std::size_t owner) {
  const operation_key& operation = callers_[0].operation;
  const bool ran = !executions_[operation].empty();
  input(owner, ran ? "resolve ran" : "resolve not run",
        instances_[owner].log->resolve(5000, operation, {ran, std::nullopt}, clock_));
}

}  // namespace crocusdoor::testing

#include "link/pending_calls.h"

#include "transport/response_status.h"

namespace crocusdoor {

bool pending_calls::add(wire::request_id id, const peer_process& receiver, time_point deadline,
                        bool written) {
  if (!calls_.try_emplace(id, call{receiver, deadline, written}).second) {
    return false;
  }
  deadlines_.emplace(deadline, id);
  return true;
}

void pending_calls::set_written(wire::request_id id) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) {
    found->second.written = true;
  }
}

std::optional<call_outcome> pending_calls::handle_response(const wire::call_answer& response,
                                                           const peer_process& from) {
  const auto found = calls_.find(response.id);
  if (found == calls_.end() || found->second.receiver != from || !found->second.written) {
    ++dropped_;
    return std::nullopt;
  }
  return finish(found, response);
}

lost_link_calls pending_calls::link_lost(const instance_name& instance) {
  lost_link_calls result;
  for (auto next = calls_.begin(); next != calls_.end();) {
    const auto found = next++;
    if (found->second.receiver.name != instance) {
      continue;
    }
    if (found->second.written) {
      result.to_query.push_back(found->first);
    } else {
      result.outcomes.push_back(
          finish(found, verdict::not_run, "the link was lost before the request was written"));
    }
  }
  return result;
}

std::optional<call_outcome> pending_calls::handle_status(const wire::call_status_answer& status,
                                                         const peer_process& from) {
  const auto found = calls_.find(status.id);
  if (found == calls_.end() || found->second.receiver.name != from.name) {
    ++dropped_;
    return std::nullopt;
  }
  if (found->second.receiver.incarnation != from.incarnation) {
    return finish(found, verdict::may_have_run, "the daemon of the target was restarted");
  }
  switch (status.progress) {
    case wire::call_progress::waiting:
    case wire::call_progress::running:
      return std::nullopt;
    case wire::call_progress::never_received:
      return finish(found, verdict::not_run, "the request was lost with its link");
    case wire::call_progress::done:
      if (status.answer.has_value() && status.answer->id == status.id) {
        return finish(found, *status.answer);
      }
      break;
    case wire::call_progress::forgotten:
      break;
  }
  return finish(found, verdict::may_have_run, "the receiver no longer knows the outcome");
}

std::vector<call_outcome> pending_calls::expire(time_point now) {
  std::vector<call_outcome> outcomes;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const auto found = calls_.find(deadlines_.begin()->second);
    const bool written = found->second.written;
    outcomes.push_back(finish(found, written ? verdict::may_have_run : verdict::not_run,
                              "the deadline passed without an answer"));
  }
  return outcomes;
}

std::optional<time_point> pending_calls::next_deadline() const {
  if (deadlines_.empty()) {
    return std::nullopt;
  }
  return deadlines_.begin()->first;
}

/// A response of the target without a status that a caller could be given is a failure of the
/// target; the request may have run.
call_outcome pending_calls::finish(call_map::iterator found, const wire::call_answer& response) {
  const bool invalid = response.outcome == verdict::ran && !is_final_status(response.status);
  call_outcome result = invalid ? finish(found, verdict::may_have_run, "invalid_status")
                                : finish(found, response.outcome, response.reason);
  result.response = response;
  if (invalid) {
    result.response->outcome = result.outcome;
    result.response->reason = result.reason;
  }
  return result;
}

call_outcome pending_calls::finish(call_map::iterator found, verdict outcome, std::string reason) {
  call_outcome result{found->first, found->second.receiver, outcome, std::nullopt,
                      std::move(reason)};
  deadlines_.erase({found->second.deadline, found->first});
  calls_.erase(found);
  return result;
}

}  // namespace crocusdoor

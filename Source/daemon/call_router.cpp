#include "daemon/call_router.h"

#include <utility>

namespace crocusdoor {

namespace {

/// Each process has 2^24 ids before the range of a later process of the instance may begin.
constexpr int id_bits_per_process = 24;
/// Number of processes of one instance that their ids distinguish; the start time of a process in
/// milliseconds, modulo this number, selects its range of ids.
constexpr std::uint64_t distinguishable_processes = 1U << 28U;

/// A response identifies its call by the id alone. A process must therefore not reuse ids for which
/// a response to the preceding process may still arrive.
wire::request_id first_id_of(std::uint64_t incarnation) {
  return ((incarnation % distinguishable_processes) << id_bits_per_process) + 1;
}

constexpr duration expiry_interval = std::chrono::milliseconds(50);

}  // namespace

call_router::call_router(timer_service& timers, peer_process self, peer_links& links,
                         handlers callbacks)
    : timers_(timers),
      self_(std::move(self)),
      links_(links),
      callbacks_(std::move(callbacks)),
      next_id_(first_id_of(self_.incarnation)) {
  message_dispatcher& dispatcher = links_.dispatcher();
  dispatcher.on<wire::call_answer>([this](const auto& from, const wire::call_answer& response) {
    if (const auto outcome = pending_.handle_response(response, process_of(from))) {
      finish(*outcome);
    } else {
      callbacks_.response_unmatched();
    }
  });
  dispatcher.on<wire::call_status_answer>([this](const auto& from, const auto& response) {
    if (const auto outcome = pending_.handle_status(response, process_of(from))) {
      finish(*outcome);
    }
  });
  timer_ = timers_.every(expiry_interval, [this] { expire(); });
}

peer_process call_router::process_of(const instance_name& name) const {
  const bool local = name == self_.name;
  return {name, local ? self_.incarnation : links_.incarnation_of(name)};
}

wire::request_id call_router::send(const instance_name& to, wire::call request, time_point deadline,
                                   callback done) {
  const wire::request_id id = next_id_++;
  request.id = id;
  request.sender_incarnation = self_.incarnation;
  waiting_call& call = calls_[id];
  call.to = to;
  call.done = std::move(done);
  call.deadline = deadline;
  call.idempotent = request.idempotent;
  if (to == self_.name) {
    pending_.add(id, process_of(to), deadline, true);
    timers_.post([this, request = std::move(request)] { callbacks_.deliver_locally(request); });
    return id;
  }
  call.unsent = std::move(request);
  if (links_.linked(to)) {
    write(id, call);
  } else {
    links_.ensure_link(to);
  }
  return id;
}

void call_router::write(wire::request_id id, waiting_call& call) {
  // `unsent` is cleared before the write: if the write fails, the call has its outcome, and a link
  // that opens before the outcome is delivered must not send the call.
  const wire::call request = *std::exchange(call.unsent, std::nullopt);
  if (links_.send(call.to, request)) {
    pending_.add(id, process_of(call.to), call.deadline, true);
    return;
  }
  const call_outcome outcome{id, process_of(call.to), verdict::not_run, std::nullopt,
                             link_unavailable_reason};
  timers_.post([this, outcome] { finish(outcome); });
}

void call_router::cancel(wire::request_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  if (found->second.unsent.has_value()) {
    finish({id, process_of(found->second.to), verdict::not_run, std::nullopt, "cancelled"});
  } else if (found->second.to == self_.name) {
    callbacks_.cancel_locally(id);
  } else {
    found->second.cancelled = true;
    send_cancellation(instance_name(found->second.to), id, found->second.deadline);
  }
}

void call_router::send_cancellation(const instance_name& to, wire::request_id id,
                                    time_point deadline) {
  const bool sent = links_.send(to, wire::call_cancel{id, self_.incarnation});
  if (!sent) {
    unsent_cancellations_[to][id] = deadline;
    links_.ensure_link(to);
  }
  callbacks_.cancelled(to, id, sent);
}

void call_router::send_unsent_cancellations(const instance_name& to) {
  const auto cancellations = unsent_cancellations_.extract(to);
  if (!cancellations.empty()) {
    for (const auto& [id, deadline] : cancellations.mapped()) {
      send_cancellation(to, id, deadline);
    }
  }
}

void call_router::receive_local_response(const wire::call_answer& response) {
  if (const auto outcome = pending_.handle_response(response, process_of(self_.name))) {
    finish(*outcome);
  }
}

void call_router::finish(const call_outcome& outcome) {
  const auto found = calls_.find(outcome.id);
  if (found == calls_.end()) {
    return;
  }
  const callback done = std::move(found->second.done);
  calls_.erase(found);
  done(outcome);
}

void call_router::peer_established(const instance_name& peer) {
  // Cancellations go first, so that the status query for a cancelled call gets its final status.
  send_unsent_cancellations(peer);
  const auto queries = pending_status_queries_.find(peer);
  if (queries != pending_status_queries_.end()) {
    for (const wire::request_id id : queries->second) {
      links_.send(peer, wire::call_status{id, self_.incarnation});
    }
    pending_status_queries_.erase(queries);
  }
  for (auto& [id, call] : calls_) {
    if (call.to == peer && call.unsent.has_value()) {
      write(id, call);
    }
  }
}

void call_router::peer_lost(const instance_name& peer) {
  const lost_link_calls lost = pending_.link_lost(peer);
  for (const call_outcome& outcome : lost.outcomes) {
    finish(outcome);
  }
  std::vector<wire::request_id>& queries = pending_status_queries_[peer];
  for (const wire::request_id id : lost.to_query) {
    const auto found = calls_.find(id);
    const bool pending = found != calls_.end();
    if (pending && (found->second.idempotent || found->second.cancelled)) {
      // A cancellation written to the lost link may not have arrived, so it is sent again.
      unsent_cancellations_[peer][id] = found->second.deadline;
    }
    if (pending && found->second.idempotent) {
      // The caller may retry at another instance at once; a status query would only delay that.
      finish({id, process_of(peer), verdict::may_have_run, std::nullopt, link_lost_reason});
    } else {
      queries.push_back(id);
    }
  }
  if (queries.empty()) {
    pending_status_queries_.erase(peer);
  } else {
    links_.ensure_link(peer);
  }
}

void call_router::session_replaced(const instance_name& peer) {
  peer_lost(peer);
  peer_established(peer);
}

void call_router::dial_failed(const instance_name& peer) {
  std::vector<wire::request_id> unsent;
  for (const auto& [id, call] : calls_) {
    if (call.to == peer && call.unsent.has_value()) {
      unsent.push_back(id);
    }
  }
  for (const wire::request_id id : unsent) {
    finish({id, process_of(peer), verdict::not_run, std::nullopt, link_unavailable_reason});
  }
}

void call_router::expire() {
  const time_point now = timers_.now();
  for (const call_outcome& outcome : pending_.expire(now)) {
    finish(outcome);
  }
  std::vector<wire::request_id> expired;
  for (const auto& [id, call] : calls_) {
    if (call.unsent.has_value() && call.deadline <= now) {
      expired.push_back(id);
    }
  }
  for (const wire::request_id id : expired) {
    finish({id, process_of(calls_.at(id).to), verdict::not_run, std::nullopt,
            "the deadline passed before a link was open"});
  }
  for (const auto& [peer, ids] : pending_status_queries_) {
    links_.ensure_link(peer);
  }
  expire_cancellations(now);
}

void call_router::expire_cancellations(time_point now) {
  for (auto& [peer, cancellations] : unsent_cancellations_) {
    std::erase_if(cancellations, [now](const auto& entry) { return entry.second <= now; });
  }
  std::erase_if(unsent_cancellations_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace crocusdoor

#include "daemon/call_router.h"

#include <utility>

namespace crocusdoor {

namespace {

/// Ids that one process can use before those of a later process of the instance may begin.
constexpr int id_bits_of_process = 24;
/// Processes of one instance that are told apart by their ids, by the millisecond of their start.
constexpr std::uint64_t told_apart = 1U << 28U;

/// An answer carries the id of its call alone, so a process must not use ids to which an answer for
/// the process before it may still arrive.
wire::request_id first_id_of(std::uint64_t incarnation) {
  return ((incarnation % told_apart) << id_bits_of_process) + 1;
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
  dispatcher.on<wire::call_answer>([this](const auto& from, const wire::call_answer& answer) {
    if (const auto outcome = pending_.answer(answer, process_of(from))) {
      finish(*outcome);
    } else {
      callbacks_.answer_unmatched();
    }
  });
  dispatcher.on<wire::call_status_answer>([this](const auto& from, const auto& answer) {
    if (const auto outcome = pending_.status(answer, process_of(from))) {
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
  waiting_call& one = calls_[id];
  one.to = to;
  one.done = std::move(done);
  one.deadline = deadline;
  one.idempotent = request.idempotent;
  if (to == self_.name) {
    pending_.add(id, process_of(to), deadline, true);
    timers_.post([this, request = std::move(request)] { callbacks_.deliver_locally(request); });
    return id;
  }
  one.unsent = std::move(request);
  if (links_.linked(to)) {
    write(id, one);
  } else {
    links_.ensure_link(to);
  }
  return id;
}

void call_router::write(wire::request_id id, waiting_call& one) {
  // Taken out first: its outcome is settled here, and a link that opens before the outcome is
  // delivered must not send it again.
  const wire::call request = *std::exchange(one.unsent, std::nullopt);
  if (links_.send(one.to, request)) {
    pending_.add(id, process_of(one.to), one.deadline, true);
    return;
  }
  const call_outcome outcome{id, process_of(one.to), verdict::not_run, std::nullopt,
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
    kept_cancellations_[to][id] = deadline;
    links_.ensure_link(to);
  }
  callbacks_.cancelled(to, id, sent);
}

void call_router::send_kept_cancellations(const instance_name& to) {
  const auto kept = kept_cancellations_.extract(to);
  if (!kept.empty()) {
    for (const auto& [id, deadline] : kept.mapped()) {
      send_cancellation(to, id, deadline);
    }
  }
}

void call_router::receive_local_response(const wire::call_answer& answer) {
  if (const auto outcome = pending_.answer(answer, process_of(self_.name))) {
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
  // First, so that a query of a cancelled call has its final answer.
  send_kept_cancellations(peer);
  const auto queries = to_query_.find(peer);
  if (queries != to_query_.end()) {
    for (const wire::request_id id : queries->second) {
      links_.send(peer, wire::call_status{id, self_.incarnation});
    }
    to_query_.erase(queries);
  }
  for (auto& [id, one] : calls_) {
    if (one.to == peer && one.unsent.has_value()) {
      write(id, one);
    }
  }
}

void call_router::peer_lost(const instance_name& peer) {
  const lost_link_calls lost = pending_.link_lost(peer);
  for (const call_outcome& outcome : lost.outcomes) {
    finish(outcome);
  }
  std::vector<wire::request_id>& queries = to_query_[peer];
  for (const wire::request_id id : lost.to_query) {
    const auto found = calls_.find(id);
    const bool known = found != calls_.end();
    if (known && (found->second.idempotent || found->second.cancelled)) {
      // A cancellation that was written to the link may have been lost with it.
      kept_cancellations_[peer][id] = found->second.deadline;
    }
    if (known && found->second.idempotent) {
      // The caller may try elsewhere at once; asking what became of it would only cost time.
      finish({id, process_of(peer), verdict::may_have_run, std::nullopt, link_lost_reason});
    } else {
      queries.push_back(id);
    }
  }
  if (queries.empty()) {
    to_query_.erase(peer);
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
  for (const auto& [id, one] : calls_) {
    if (one.to == peer && one.unsent.has_value()) {
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
  std::vector<wire::request_id> late;
  for (const auto& [id, one] : calls_) {
    if (one.unsent.has_value() && one.deadline <= now) {
      late.push_back(id);
    }
  }
  for (const wire::request_id id : late) {
    finish({id, process_of(calls_.at(id).to), verdict::not_run, std::nullopt,
            "the deadline passed before a link was open"});
  }
  for (const auto& [peer, ids] : to_query_) {
    links_.ensure_link(peer);
  }
  expire_cancellations(now);
}

void call_router::expire_cancellations(time_point now) {
  for (auto& [peer, kept] : kept_cancellations_) {
    std::erase_if(kept, [now](const auto& one) { return one.second <= now; });
  }
  std::erase_if(kept_cancellations_, [](const auto& one) { return one.second.empty(); });
}

}  // namespace crocusdoor

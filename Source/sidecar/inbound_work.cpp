#include "sidecar/inbound_work.h"

#include <algorithm>
#include <utility>

#include "wire/message_fields.h"

namespace crocusdoor {

namespace {

constexpr duration queue_interval = std::chrono::milliseconds(20);
constexpr duration ledger_interval = std::chrono::seconds(1);
/// A request with less time than this until its deadline is refused instead of being sent to the
/// target, which could not complete it.
constexpr duration minimum_time_left = std::chrono::milliseconds(3);
/// A body that follows its call may arrive slowly and keep its slot meanwhile, so only one request
/// of this many slots may have one.
constexpr std::size_t slots_per_streamed_request = 4;
constexpr double percent_of_one = 100;
/// Shorter transit times do not count as a delay and are not recorded in the metrics.
constexpr duration minimum_counted_transit = std::chrono::milliseconds(5);
/// Calls with at least this transit time are logged, because callers notice the delay.
constexpr duration long_transit = std::chrono::milliseconds(250);
constexpr const char* link_lost_reason = "link_lost";

}  // namespace

inbound_work::inbound_work(context shared, handlers callbacks)
    : shared_(std::move(shared)), callbacks_(std::move(callbacks)) {
  queue_timer_ =
      shared_.timers.every(queue_interval, [this] { apply(queue_.expire(shared_.timers.now())); });
  ledger_timer_ =
      shared_.timers.every(ledger_interval, [this] { ledger_.expire(shared_.timers.now()); });
}

void inbound_work::receive(const instance_name& from, const wire::call& call) {
  const time_point now = shared_.timers.now();
  const receive_result received = ledger_.receive(from, call.sender_incarnation, call.id, now);
  if (received == receive_result::duplicate) {
    return;
  }
  const auto request = std::make_shared<inbound_request>();
  request->from = from;
  request->call = call;
  request->deadline = now + call.deadline_left_ms - call.transit;
  request->ticket = next_ticket_++;
  request->body_complete = !call.streamed.has_value();
  inbound_refusal refusal = callbacks_.check(*request);
  if (received == receive_result::refused) {
    refusal = {"request_id_refused"};
  } else if (call.streamed.has_value() && streamed_requests() >= streamed_limit()) {
    refusal = {"streams_busy"};
  } else if (ends_at_.has_value() && request->deadline > *ends_at_) {
    refusal = {"stopping"};
  }
  if (!refusal.reason.empty()) {
    refuse(request, refusal);
    return;
  }
  if (call.transit >= minimum_counted_transit) {
    shared_.counters.observe_call_transit(call.transit);
  }
  if (call.transit >= long_transit) {
    shared_.log.request(log_level::warning, "call_delayed",
                        {{"request", attempt_id_of(*request)},
                         {"from", from.str()},
                         {"transit_ms", to_ms(call.transit)},
                         {"left_ms", to_ms(request->deadline - now)}});
  }
  requests_[request->ticket] = request;
  slot_request slot{request->ticket, call.rank, call.work_class, request->deadline,
                    now + call.objective_left_ms - call.transit};
  if (call.workspace.has_value()) {
    slot.workspace = call.workspace->name;
    slot.workspace_rank = call.workspace->rank;
  }
  apply(queue_.offer(slot, now));
}

void inbound_work::apply(const slot_changes& changes) {
  for (const refused_slot& refused : changes.refused) {
    const auto found = requests_.find(refused.ticket);
    if (found != requests_.end()) {
      refuse(request_pointer(found->second),
             {std::string(to_string(refused.reason)), refused.retry_after});
    }
  }
  admitted_.insert(admitted_.end(), changes.started.begin(), changes.started.end());
  if (!admitted_.empty() && start_timer_ == nullptr) {
    start_timer_ = shared_.timers.after(duration::zero(), [this] { start_admitted(); });
  }
}

void inbound_work::start_admitted() {
  using link_of_sender = std::pair<instance_name, std::uint64_t>;
  std::map<link_of_sender, bool> open_links;
  while (!admitted_.empty()) {
    const auto found = requests_.find(admitted_.front());
    if (found == requests_.end()) {
      admitted_.pop_front();
      continue;
    }
    const request_pointer request = found->second;
    const auto [link, first_of_link] =
        open_links.try_emplace({request->from, request->call.link}, true);
    if (first_of_link) {
      // The messages read here may cancel this request or others, so it is looked up again.
      link->second = callbacks_.read_from_sender(*request);
      continue;
    }
    admitted_.pop_front();
    start(request, link->second);
  }
  start_timer_ = nullptr;
}

void inbound_work::start(const request_pointer& request, bool link_open) {
  const time_point now = shared_.timers.now();
  inbound_refusal refusal = callbacks_.check(*request);
  if (!link_open) {
    refusal = {link_lost_reason};
  } else if (request->deadline - now < minimum_time_left) {
    refusal = {"deadline_unreachable"};
  }
  if (!refusal.reason.empty()) {
    drop(request, refusal);
    return;
  }
  request->started_at = now;
  ledger_.set_running(request->from, request->call.sender_incarnation, request->call.id);
  callbacks_.start(request);
}

void inbound_work::drop(const request_pointer& request, const inbound_refusal& refusal) {
  const bool waited = queue_.withdraw(request->ticket);
  refuse(request, refusal);
  if (!waited) {
    apply(queue_.release(request->ticket, shared_.timers.now()));
  }
}

void inbound_work::finish(const inbound_request_pointer& request, wire::call_answer response,
                          bool failed) {
  if (!requests_.contains(request->ticket)) {
    return;  // Cancelled while the result was queued in the event loop.
  }
  const time_point now = shared_.timers.now();
  failures_.record(failed, now);
  const slot_changes changes = free_slot(request->ticket, response.outcome, now);
  respond(*request, std::move(response));
  apply(changes);
}

slot_changes inbound_work::free_slot(std::uint64_t ticket, verdict outcome, time_point now) {
  switch (outcome) {
    case verdict::ran:
      return queue_.finished(ticket, now);
    case verdict::not_run:
      return queue_.release(ticket, now);
    case verdict::may_have_run:
      break;
  }
  return queue_.cut_off(ticket, now);
}

void inbound_work::refuse(const request_pointer& request, const inbound_refusal& refusal) {
  shared_.log.request(log_level::info, "refused_at_target",
                      {{"request", attempt_id_of(*request)},
                       {"from", request->from.str()},
                       {"reason", refusal.reason},
                       {"slots_in_use", queue_.slots_in_use()},
                       {"queued", queue_.queued()}});
  shared_.counters.count_refusal(refusal.reason);
  wire::call_answer response;
  response.outcome = verdict::not_run;
  response.reason = refusal.reason;
  response.reached_target = false;
  response.retry_after_ms = std::chrono::ceil<std::chrono::milliseconds>(refusal.retry_after);
  respond(*request, std::move(response));
}

void inbound_work::respond(const inbound_request& request, wire::call_answer response) {
  response.id = request.call.id;
  response.load = load();
  ledger_.set_done(request.from, request.call.sender_incarnation, response, shared_.timers.now());
  const instance_name to = request.from;
  requests_.erase(request.ticket);
  callbacks_.send_response(to, response);
}

inbound_work::request_pointer inbound_work::find(const instance_name& from,
                                                 std::uint64_t sender_incarnation,
                                                 wire::request_id id) const {
  for (const auto& [ticket, request] : requests_) {
    if (request->from == from && request->call.id == id &&
        request->call.sender_incarnation == sender_incarnation) {
      return request;
    }
  }
  return nullptr;
}

inbound_request_pointer inbound_work::running(const instance_name& from,
                                              std::uint64_t sender_incarnation,
                                              wire::request_id id) const {
  const request_pointer request = find(from, sender_incarnation, id);
  return request != nullptr && request->started_at.has_value() ? request : nullptr;
}

void inbound_work::body_completed(std::uint64_t ticket) {
  const auto found = requests_.find(ticket);
  if (found != requests_.end()) {
    found->second->body_complete = true;
  }
}

void inbound_work::cancel(const instance_name& from, std::uint64_t sender_incarnation,
                          wire::request_id id) {
  const request_pointer request = find(from, sender_incarnation, id);
  if (request == nullptr) {
    // The call may still arrive later, over a link that was opened before this one.
    const wire::call_status_answer known_status =
        ledger_.query(from, sender_incarnation, id, shared_.timers.now());
    shared_.counters.count_cancellation("unmatched");
    shared_.log.request(log_level::info, "cancellation_unmatched",
                        {{"from", from.str()},
                         {"call", id},
                         {"progress", std::string(to_string(known_status.progress))}});
    return;
  }
  shared_.counters.count_cancellation(request->started_at.has_value() ? "running" : "waiting");
  abandon(request, "cancelled");
}

void inbound_work::abandon(const request_pointer& request, const std::string& reason) {
  if (!request->started_at.has_value()) {
    drop(request, {reason, duration::zero()});
    return;
  }
  if (!request->call.idempotent && request->body_complete) {
    return;
  }
  callbacks_.stop(request->ticket);
  const slot_changes changes = queue_.cut_off(request->ticket, shared_.timers.now());
  wire::call_answer response;
  response.reason = reason;
  respond(*request, std::move(response));
  apply(changes);
}

void inbound_work::peer_established(const instance_name& peer, std::uint64_t incarnation) {
  abandon_all(peer, "caller_restarted", [incarnation](const wire::call& call) {
    return call.sender_incarnation < incarnation;
  });
  ledger_.sender_started(peer, incarnation, shared_.timers.now());
}

void inbound_work::link_lost(const instance_name& peer, std::uint64_t link) {
  abandon_all(peer, link_lost_reason, [link](const wire::call& call) { return call.link == link; });
}

void inbound_work::abandon_all(const instance_name& peer, const std::string& reason,
                               const std::function<bool(const wire::call&)>& matches) {
  std::vector<request_pointer> waiting;
  std::vector<request_pointer> running;
  for (const auto& [ticket, request] : requests_) {
    if (request->from == peer && matches(request->call)) {
      (request->started_at.has_value() ? running : waiting).push_back(request);
    }
  }
  if (waiting.empty() && running.empty()) {
    return;
  }
  shared_.counters.count_work_of_lost_link("waiting", waiting.size());
  shared_.counters.count_work_of_lost_link("running", running.size());
  shared_.log.warning("link_lost_with_work", {{"peer", peer.str()},
                                              {"reason", reason},
                                              {"waiting", waiting.size()},
                                              {"running", running.size()}});
  // Waiting requests are removed first, so that none of them is given the slot of a running request
  // that is stopped.
  for (const request_pointer& request : waiting) {
    abandon(request, reason);
  }
  for (const request_pointer& request : running) {
    abandon(request, reason);
  }
}

wire::call_status_answer inbound_work::status(const instance_name& from,
                                              const wire::call_status& query) {
  return ledger_.query(from, query.sender_incarnation, query.id, shared_.timers.now());
}

std::size_t inbound_work::streamed_requests() const {
  return static_cast<std::size_t>(
      std::count_if(requests_.begin(), requests_.end(),
                    [](const auto& entry) { return entry.second->call.streamed.has_value(); }));
}

std::size_t inbound_work::streamed_limit() const {
  return std::max<std::size_t>(1, slots_ / slots_per_streamed_request);
}

void inbound_work::set_slots(std::int32_t slots) {
  slots_ = static_cast<std::size_t>(std::max(slots, 0));
  apply(queue_.set_slots(slots, shared_.timers.now()));
}

void inbound_work::refuse_waiting() {
  apply(queue_.refuse_all());
}

std::string inbound_work::attempt_id_of(const inbound_request& request) const {
  const auto found = request.call.headers.find(shared_.attempt_id_header);
  return found == request.call.headers.end() ? std::string() : found->second;
}

load_report inbound_work::load() const {
  load_report report = queue_.load();
  report.failed_percent =
      static_cast<std::int32_t>(failures_.value(shared_.timers.now()) * percent_of_one);
  return report;
}

}  // namespace crocusdoor

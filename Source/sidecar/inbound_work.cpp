#include "sidecar/inbound_work.h"

#include <utility>

#include "wire/message_fields.h"

namespace crocusdoor {

namespace {

constexpr duration queue_interval = std::chrono::milliseconds(20);
constexpr duration ledger_interval = std::chrono::seconds(1);
/// Less than this is no use to a target.
constexpr duration least_time_left = std::chrono::milliseconds(3);
constexpr duration leaving_retry_after = std::chrono::milliseconds(100);
constexpr double percent_of_one = 100;
/// Shorter times on the way are no delay.
constexpr duration least_counted_transit = std::chrono::milliseconds(5);
/// Time on the way that callers notice, and that is logged.
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

void inbound_work::receive(const instance_name& from, const wire::call& request) {
  const time_point now = shared_.timers.now();
  const receipt received = ledger_.receive(from, request.sender_incarnation, request.id, now);
  if (received == receipt::duplicate) {
    return;
  }
  const auto one = std::make_shared<inbound_request>();
  one->from = from;
  one->call = request;
  one->deadline = now + request.deadline_left_ms - request.transit;
  one->ticket = next_ticket_++;
  std::string reason = callbacks_.reason_to_refuse(request.service);
  if (received == receipt::refused) {
    reason = "request_id_refused";
  } else if (ends_at_.has_value() && one->deadline > *ends_at_) {
    reason = "stopping";
  }
  if (!reason.empty()) {
    refuse(one, reason, leaving_retry_after);
    return;
  }
  if (request.transit >= least_counted_transit) {
    shared_.counters.observe_call_transit(request.transit);
  }
  if (request.transit >= long_transit) {
    shared_.log.request(log_level::warning, "call_delayed",
                        {{"request", attempt_id_of(*one)},
                         {"from", from.str()},
                         {"transit_ms", to_ms(request.transit)},
                         {"left_ms", to_ms(one->deadline - now)}});
  }
  requests_[one->ticket] = one;
  apply(queue_.offer({one->ticket, request.rank, request.work_class, one->deadline,
                      now + request.objective_left_ms - request.transit},
                     now));
}

void inbound_work::apply(const slot_changes& changes) {
  for (const refused_slot& refused : changes.refused) {
    const auto found = requests_.find(refused.ticket);
    if (found != requests_.end()) {
      refuse(request_pointer(found->second), std::string(to_string(refused.reason)),
             refused.retry_after);
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
    const request_pointer one = found->second;
    const auto [link, unheard] = open_links.try_emplace({one->from, one->call.link}, true);
    if (unheard) {
      // What is heard may cancel this request or others.
      link->second = callbacks_.hear_sender(*one);
      continue;
    }
    admitted_.pop_front();
    start(one, link->second);
  }
  start_timer_ = nullptr;
}

void inbound_work::start(const request_pointer& one, bool link_open) {
  const time_point now = shared_.timers.now();
  std::string reason = callbacks_.reason_to_refuse(one->call.service);
  if (!link_open) {
    reason = link_lost_reason;
  } else if (one->deadline - now < least_time_left) {
    reason = "deadline_unreachable";
  }
  if (!reason.empty()) {
    drop(one, reason, leaving_retry_after);
    return;
  }
  one->started_at = now;
  ledger_.set_running(one->from, one->call.sender_incarnation, one->call.id);
  callbacks_.start(one);
}

void inbound_work::drop(const request_pointer& one, const std::string& reason,
                        duration retry_after) {
  const bool waited = queue_.withdraw(one->ticket);
  refuse(one, reason, retry_after);
  if (!waited) {
    apply(queue_.release(one->ticket, shared_.timers.now()));
  }
}

void inbound_work::finish(const inbound_request_pointer& one, wire::call_answer value,
                          bool failed) {
  if (!requests_.contains(one->ticket)) {
    return;  // Cancelled while the result was on its way through the loop.
  }
  const time_point now = shared_.timers.now();
  failures_.record(failed, now);
  const slot_changes changes = queue_.finished(one->ticket, now);
  answer(*one, std::move(value));
  apply(changes);
}

void inbound_work::refuse(const request_pointer& one, const std::string& reason,
                          duration retry_after) {
  shared_.log.request(log_level::info, "refused_at_target",
                      {{"request", attempt_id_of(*one)},
                       {"from", one->from.str()},
                       {"reason", reason},
                       {"slots_in_use", queue_.slots_in_use()},
                       {"queued", queue_.queued()}});
  shared_.counters.count_refusal(reason);
  wire::call_answer value;
  value.outcome = verdict::not_run;
  value.reason = reason;
  value.reached_target = false;
  value.retry_after_ms = std::chrono::ceil<std::chrono::milliseconds>(retry_after);
  answer(*one, std::move(value));
}

void inbound_work::answer(const inbound_request& one, wire::call_answer value) {
  value.id = one.call.id;
  value.load = load();
  ledger_.set_done(one.from, one.call.sender_incarnation, value, shared_.timers.now());
  const instance_name to = one.from;
  requests_.erase(one.ticket);
  callbacks_.send_answer(to, value);
}

inbound_work::request_pointer inbound_work::find(const instance_name& from,
                                                 std::uint64_t sender_incarnation,
                                                 wire::request_id id) const {
  for (const auto& [ticket, one] : requests_) {
    if (one->from == from && one->call.id == id &&
        one->call.sender_incarnation == sender_incarnation) {
      return one;
    }
  }
  return nullptr;
}

void inbound_work::cancel(const instance_name& from, std::uint64_t sender_incarnation,
                          wire::request_id id) {
  const request_pointer one = find(from, sender_incarnation, id);
  if (one == nullptr) {
    // The call may arrive later, by a link that was opened before this one.
    const wire::call_status_answer known =
        ledger_.query(from, sender_incarnation, id, shared_.timers.now());
    shared_.counters.count_cancellation("unmatched");
    shared_.log.request(
        log_level::info, "cancellation_unmatched",
        {{"from", from.str()}, {"call", id}, {"progress", std::string(to_string(known.progress))}});
    return;
  }
  shared_.counters.count_cancellation(one->started_at.has_value() ? "running" : "waiting");
  abandon(one, "cancelled");
}

void inbound_work::abandon(const request_pointer& one, const std::string& reason) {
  if (!one->started_at.has_value()) {
    drop(one, reason, duration::zero());
    return;
  }
  if (!one->call.idempotent) {
    return;
  }
  callbacks_.stop(one->ticket);
  const slot_changes changes = queue_.finished(one->ticket, shared_.timers.now());
  wire::call_answer value;
  value.reason = reason;
  answer(*one, std::move(value));
  apply(changes);
}

void inbound_work::peer_established(const instance_name& peer, std::uint64_t incarnation) {
  abandon_all(peer, "caller_restarted", [incarnation](const wire::call& request) {
    return request.sender_incarnation < incarnation;
  });
  ledger_.sender_started(peer, incarnation, shared_.timers.now());
}

void inbound_work::link_lost(const instance_name& peer, std::uint64_t link) {
  abandon_all(peer, link_lost_reason,
              [link](const wire::call& request) { return request.link == link; });
}

void inbound_work::abandon_all(const instance_name& peer, const std::string& reason,
                               const std::function<bool(const wire::call&)>& concerned) {
  std::vector<request_pointer> waiting;
  std::vector<request_pointer> running;
  for (const auto& [ticket, one] : requests_) {
    if (one->from == peer && concerned(one->call)) {
      (one->started_at.has_value() ? running : waiting).push_back(one);
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
  // Waiting ones first, so that none of them gets the slot of one that is stopped.
  for (const request_pointer& one : waiting) {
    abandon(one, reason);
  }
  for (const request_pointer& one : running) {
    abandon(one, reason);
  }
}

wire::call_status_answer inbound_work::status(const instance_name& from,
                                              const wire::call_status& query) {
  return ledger_.query(from, query.sender_incarnation, query.id, shared_.timers.now());
}

void inbound_work::set_slots(std::int32_t slots) {
  apply(queue_.set_slots(slots, shared_.timers.now()));
}

void inbound_work::refuse_waiting() {
  apply(queue_.refuse_all());
}

std::string inbound_work::attempt_id_of(const inbound_request& one) const {
  const auto found = one.call.headers.find(shared_.attempt_id_header);
  return found == one.call.headers.end() ? std::string() : found->second;
}

load_report inbound_work::load() const {
  load_report report = queue_.load();
  report.failed_percent =
      static_cast<std::int32_t>(failures_.value(shared_.timers.now()) * percent_of_one);
  return report;
}

}  // namespace crocusdoor

#include "sidecar/inbound_gateway.h"

#include <utility>

namespace crocusdoor {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(20);
constexpr duration ledger_interval = std::chrono::seconds(1);
/// A target that has neither sent a heartbeat nor answered for this long is taken as gone.
constexpr duration target_silence_limit = std::chrono::seconds(6);
/// A target ends its work at the deadline that it is given; its last word may take this much
/// longer.
constexpr duration last_word_time = std::chrono::milliseconds(30);
/// Less than this is no use to a target.
constexpr duration least_time_left = std::chrono::milliseconds(3);
constexpr duration probe_timeout = std::chrono::milliseconds(500);
/// Slots assumed until the first heartbeat tells.
constexpr std::int32_t discovered_slots = 4;
constexpr std::size_t connection_limit = 64;
/// An idle connection is closed by targets that do not state a time after about 10 s.
constexpr duration idle_limit = std::chrono::seconds(5);
constexpr duration leaving_retry_after = std::chrono::milliseconds(100);

constexpr double percent_of_one = 100;
constexpr int status_success = 200;
constexpr int status_first_redirect = 300;
constexpr int status_misdirected = 421;

http_client_options target_client_options() {
  http_client_options options;
  options.connection_limit = connection_limit;
  options.idle_limit = idle_limit;
  return options;
}

bool is_success(const http_response& response) {
  return response.status >= status_success && response.status < status_first_redirect;
}

}  // namespace

/// One request on its way through the gateway.
struct inbound_gateway::work {
  instance_name from;
  wire::call request;
  time_point deadline;
  std::uint64_t ticket = 0;
  bool running = false;
  time_point started_at{};
  http_call target_call;
};

inbound_gateway::inbound_gateway(const sidecar_context& shared, handlers callbacks)
    : shared_(shared),
      callbacks_(std::move(callbacks)),
      target_(shared.loop, shared.options.target.endpoint, target_client_options()),
      prober_(shared.loop, shared.options.target.endpoint, {}) {
  tick_timer_ = shared_.loop.every(tick_interval, [this] { tick(); });
  ledger_timer_ =
      shared_.loop.every(ledger_interval, [this] { ledger_.expire(shared_.loop.now()); });
}

void inbound_gateway::receive(const instance_name& from, const wire::call& request) {
  const time_point now = shared_.loop.now();
  const receipt received = ledger_.receive(from, request.sender_incarnation, request.id, now);
  if (received == receipt::duplicate) {
    return;
  }
  const auto one = std::make_shared<work>();
  one->from = from;
  one->request = request;
  one->deadline = now + request.deadline_left_ms;
  one->ticket = next_ticket_++;
  if (received == receipt::refused) {
    refuse(one, "request_id_refused", leaving_retry_after);
    return;
  }
  if (!registry_.takes_requests() || registry_.target()->announcement.service != request.service) {
    refuse(one, registry_.target().has_value() ? "target_leaving" : "no_target",
           leaving_retry_after);
    return;
  }
  work_[one->ticket] = one;
  apply(queue_.offer({one->ticket, request.rank, request.work_class, one->deadline,
                      now + request.objective_left_ms},
                     now));
}

void inbound_gateway::apply(const slot_changes& changes) {
  for (const refused_slot& refused : changes.refused) {
    const auto found = work_.find(refused.ticket);
    if (found != work_.end()) {
      refuse(work_pointer(found->second), std::string(to_string(refused.reason)),
             refused.retry_after);
    }
  }
  for (const std::uint64_t ticket : changes.started) {
    const auto found = work_.find(ticket);
    if (found != work_.end()) {
      run(work_pointer(found->second));
    }
  }
}

http_request inbound_gateway::outgoing_request(const work_pointer& one) const {
  const exchange_headers& names = shared_.contract.headers;
  http_request outgoing;
  outgoing.method = one->request.method;
  outgoing.target = one->request.path;
  outgoing.headers = {one->request.headers.begin(), one->request.headers.end()};
  outgoing.body = one->request.body.bytes;
  const duration left = one->deadline - shared_.loop.now();
  outgoing.headers[names.deadline_ms] =
      std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
  outgoing.headers[names.expected_target] = registry_.target()->announcement.id;
  return outgoing;
}

std::string inbound_gateway::attempt_id_of(const wire::call& request) const {
  const auto found = request.headers.find(shared_.contract.headers.attempt_id);
  return found == request.headers.end() ? std::string() : found->second;
}

void inbound_gateway::run(const work_pointer& one) {
  const time_point now = shared_.loop.now();
  const bool too_late = one->deadline - now < least_time_left;
  if (too_late || !registry_.takes_requests()) {
    refuse(one, too_late ? "deadline_unreachable" : "target_leaving", leaving_retry_after);
    apply(queue_.finished(one->ticket, now));
    return;
  }
  one->running = true;
  one->started_at = now;
  ledger_.set_running(one->from, one->request.sender_incarnation, one->request.id);
  const std::string id = attempt_id_of(one->request);
  const std::string name = shared_.contract.headers.attempt_id;
  // A target may still send a second response to an earlier request on the same connection.
  const response_filter answers = [id, name](const http_response& response) {
    const std::string& echoed = header_value(response.headers, name);
    return echoed == id || (echoed.empty() && !is_success(response));
  };
  one->target_call = target_.send(
      outgoing_request(one), one->deadline - now + last_word_time,
      [this, one](const http_result& result) { target_answered(one, result); }, answers);
}

target_exchange inbound_gateway::classify(const http_result& result) const {
  switch (result.outcome) {
    case http_outcome::not_sent:
      return target_exchange::not_connected;
    case http_outcome::interrupted:
      return target_exchange::connection_lost;
    case http_outcome::garbled:
      return target_exchange::garbled;
    case http_outcome::timed_out:
      return target_exchange::timed_out;
    case http_outcome::answered:
      break;
  }
  const http_response& response = result.response;
  if (response.status == status_misdirected) {
    return target_exchange::another_target;
  }
  if (response.headers.contains(shared_.contract.headers.declined)) {
    return target_exchange::declared_not_run;
  }
  if (!is_success(response)) {
    return target_exchange::failure;
  }
  return response.headers.contains(shared_.contract.headers.seal)
             ? target_exchange::success
             : target_exchange::unsealed_success;
}

void inbound_gateway::target_answered(const work_pointer& one, const http_result& result) {
  const target_exchange end = classify(result);
  const exchange_proof proof = proof_of(end);
  const time_point now = shared_.loop.now();
  wire::call_answer value;
  value.outcome = proof.outcome;
  value.reached_target = proof.arrived;
  value.ran_us = (now - one->started_at).count();
  if (result.outcome == http_outcome::answered) {
    heard_at_ = now;
  }
  if (proof.deliverable) {
    const http_headers kept = end_to_end_headers(result.response.headers);
    value.status = result.response.status;
    value.headers = {kept.begin(), kept.end()};
    value.body.bytes = result.response.body;
  } else {
    value.reason = std::string(to_string(end));
    shared_.log.info("target_exchange_failed", {{"request", attempt_id_of(one->request)},
                                                {"end", value.reason},
                                                {"verdict", std::string(to_string(value.outcome))},
                                                {"target", registry_.target().has_value()
                                                               ? registry_.target()->announcement.id
                                                               : std::string()},
                                                {"ran_ms", to_ms(now - one->started_at)}});
  }
  failures_.record(end != target_exchange::success, now);
  note_lost_target(end);
  const slot_changes changes = queue_.finished(one->ticket, now);
  answer(one, std::move(value));
  apply(changes);
}

/// Stops using a target that is not there any more, until it is heard again.
void inbound_gateway::note_lost_target(target_exchange end) {
  const bool gone = end == target_exchange::not_connected || end == target_exchange::another_target;
  if (gone && registry_.target().has_value()) {
    registry_.forget(registry_.target()->announcement.id);
    target_changed();
  }
}

load_report inbound_gateway::load() const {
  load_report report = queue_.load();
  report.failed_percent =
      static_cast<std::int32_t>(failures_.value(shared_.loop.now()) * percent_of_one);
  return report;
}

void inbound_gateway::refuse(const work_pointer& one, const std::string& reason,
                             duration retry_after) {
  shared_.log.request(log_level::info, "refused_at_target",
                      {{"request", attempt_id_of(one->request)},
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
  answer(one, std::move(value));
}

void inbound_gateway::answer(const work_pointer& one, wire::call_answer value) {
  work_.erase(one->ticket);
  value.id = one->request.id;
  value.load = load();
  ledger_.set_done(one->from, one->request.sender_incarnation, value, shared_.loop.now());
  callbacks_.send_answer(one->from, value);
}

void inbound_gateway::cancel(const instance_name& from, std::uint64_t sender_incarnation,
                             wire::request_id id) {
  for (const auto& [ticket, entry] : work_) {
    const work_pointer one = entry;
    const bool same = one->from == from && one->request.id == id &&
                      one->request.sender_incarnation == sender_incarnation;
    if (!same) {
      continue;
    }
    shared_.counters.count_cancellation(one->running ? "running" : "waiting");
    if (!one->running) {
      queue_.withdraw(ticket);
      refuse(one, "cancelled", duration::zero());
    } else if (one->request.idempotent) {
      target_.cancel(one->target_call);
      const slot_changes changes = queue_.finished(ticket, shared_.loop.now());
      wire::call_answer value;
      value.reason = "cancelled";
      answer(one, std::move(value));
      apply(changes);
    }
    // A request that may run only once is left to finish: its effect is worth more than the slot.
    return;
  }
  shared_.counters.count_cancellation("unmatched");
  shared_.log.request(log_level::info, "cancellation_unmatched",
                      {{"from", from.str()}, {"call", id}});
}

void inbound_gateway::peer_lost(const instance_name& peer) {
  std::size_t waiting = 0;
  std::size_t running = 0;
  for (const auto& [ticket, one] : work_) {
    if (one->from == peer) {
      ++(one->running ? running : waiting);
    }
  }
  if (waiting + running > 0) {
    shared_.counters.count_work_of_lost_link("waiting", waiting);
    shared_.counters.count_work_of_lost_link("running", running);
    shared_.log.warning("peer_lost_with_work",
                        {{"peer", peer.str()}, {"waiting", waiting}, {"running", running}});
  }
}

wire::call_status_answer inbound_gateway::status(const instance_name& from,
                                                 const wire::call_status& query) {
  return ledger_.query(from, query.sender_incarnation, query.id, shared_.loop.now());
}

announcement_result inbound_gateway::announce(const target_announcement& said) {
  const announcement_result result = registry_.announce(said, shared_.loop.now());
  if (result != announcement_result::outdated) {
    heard_at_ = shared_.loop.now();
  }
  target_changed();
  return result;
}

announcement_result inbound_gateway::withdraw(const target_withdrawal& said) {
  const auto wall_now = std::chrono::duration_cast<std::chrono::milliseconds>(
      event_loop::wall_now().time_since_epoch());
  const announcement_result result = registry_.withdraw(
      said.id, said.born_ms, static_cast<std::uint64_t>(wall_now.count()), shared_.loop.now());
  target_changed();
  return result;
}

void inbound_gateway::recall(const target_departure& known) {
  registry_.recall(known, shared_.loop.now());
  target_changed();
}

/// Lets the peers keep a departure, which this process forgets when it ends.
void inbound_gateway::tell_departure() {
  const std::optional<target_departure> departure = registry_.departure();
  if (departure.has_value() && departure != told_departure_) {
    told_departure_ = departure;
    shared_.log.info("target_departed",
                     {{"target", departure->id}, {"born_ms", departure->born_ms}});
    callbacks_.departed(*departure);
  }
}

void inbound_gateway::target_changed() {
  tell_departure();
  const bool takes = registry_.takes_requests();
  if (takes) {
    apply(queue_.set_slots(registry_.target()->announcement.slots, shared_.loop.now()));
  }
  if (takes == std::exchange(takes_requests_, takes)) {
    return;
  }
  const auto& target = registry_.target();
  shared_.log.info("target_state",
                   {{"takes_requests", takes},
                    {"target", target.has_value() ? target->announcement.id : std::string()},
                    {"leaving", target.has_value() && target->leaving},
                    {"waiting", queue_.queued()},
                    {"running", queue_.slots_in_use()}});
  callbacks_.status_changed();
  if (!takes) {
    apply(queue_.refuse_all());
  }
}

void inbound_gateway::look_for_target() {
  const route_table_pointer configuration = callbacks_.configuration();
  const service_name& service = shared_.options.target.service;
  const mesh_service* described =
      configuration == nullptr ? nullptr : configuration->service(service);
  if (registry_.target().has_value() || described == nullptr) {
    return;
  }
  prober_.send({"GET", described->health_path, {}, {}}, probe_timeout,
               [this, service](const http_result& result) {
                 const std::string& id =
                     header_value(result.response.headers, shared_.contract.headers.target_id);
                 if (result.outcome != http_outcome::answered ||
                     result.response.status != status_success || id.empty()) {
                   return;
                 }
                 target_announcement found;
                 found.id = id;
                 found.service = service;
                 found.slots = discovered_slots;
                 registry_.discover(found);
                 heard_at_ = shared_.loop.now();
                 target_changed();
               });
}

void inbound_gateway::tick() {
  const time_point now = shared_.loop.now();
  apply(queue_.expire(now));
  if (registry_.takes_requests() && now - heard_at_ > target_silence_limit) {
    shared_.log.warning("target_silent", {{"target", registry_.target()->announcement.id},
                                          {"silent_ms", to_ms(now - heard_at_)}});
    registry_.forget(registry_.target()->announcement.id);
    target_changed();
  }
}

}  // namespace crocusdoor

#include "sidecar/inbound_gateway.h"

#include <utility>

namespace crocusdoor {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(20);
/// A target that has neither sent a heartbeat nor answered for this long is taken as gone.
constexpr duration target_silence_limit = std::chrono::seconds(6);
/// A target ends its work at the deadline that it is given; its last word may take this much
/// longer.
constexpr duration last_word_time = std::chrono::milliseconds(30);
constexpr duration probe_timeout = std::chrono::milliseconds(500);
/// Slots assumed until the first heartbeat tells.
constexpr std::int32_t discovered_slots = 4;
constexpr std::size_t connection_limit = 64;
/// An idle connection is closed by targets that do not state a time after about 10 s.
constexpr duration idle_limit = std::chrono::seconds(5);

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

/// Whose answer a target's response is, by the id that it echoes. A refusal may come without an id.
/// It belongs to the request if the connection has carried no other one; later it may as well be a
/// second copy of an earlier refusal, and does not prove that this request has not run.
response_match match_target_answer(const std::string& echoed, const std::string& id, bool success,
                                   bool new_connection) {
  if (echoed == id && !id.empty()) {
    return response_match::ours;
  }
  if (!echoed.empty()) {
    // Several ids say nothing certain.
    return echoed.find(',') == std::string::npos ? response_match::stray : response_match::unknown;
  }
  if (success && !id.empty()) {
    return response_match::stray;
  }
  return new_connection ? response_match::ours_last : response_match::unknown;
}

}  // namespace

inbound_gateway::inbound_gateway(const sidecar_context& shared, handlers callbacks)
    : shared_(shared),
      callbacks_(std::move(callbacks)),
      work_({shared.loop, shared.log, shared.counters, shared.contract.headers.attempt_id},
            {[this](const service_name& service) { return reason_to_refuse(service); },
             callbacks_.hear_sender, [this](const inbound_request_pointer& one) { run(one); },
             [this](std::uint64_t ticket) { stop(ticket); }, callbacks_.send_answer}),
      target_(shared.loop, shared.options.target.endpoint, target_client_options()),
      prober_(shared.loop, shared.options.target.endpoint, {}) {
  tick_timer_ = shared_.loop.every(tick_interval, [this] { tick(); });
}

std::string inbound_gateway::reason_to_refuse(const service_name& service) const {
  const auto& target = registry_.target();
  if (registry_.takes_requests() && target->announcement.service == service) {
    return "";
  }
  return target.has_value() ? "target_leaving" : "no_target";
}

http_request inbound_gateway::outgoing_request(const inbound_request& one) const {
  const exchange_headers& names = shared_.contract.headers;
  http_request outgoing;
  outgoing.method = one.call.method;
  outgoing.target = one.call.path;
  outgoing.headers = {one.call.headers.begin(), one.call.headers.end()};
  outgoing.body = one.call.body.bytes;
  const duration left = one.deadline - shared_.loop.now();
  outgoing.headers[names.deadline_ms] =
      std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
  outgoing.headers[names.expected_target] = registry_.target()->announcement.id;
  return outgoing;
}

void inbound_gateway::run(const inbound_request_pointer& one) {
  const response_filter answers = [id = work_.attempt_id_of(*one),
                                   name = shared_.contract.headers.attempt_id](
                                      const http_response& response, bool new_connection) {
    return match_target_answer(header_value(response.headers, name), id, is_success(response),
                               new_connection);
  };
  exchanges_[one->ticket] = target_.send(
      outgoing_request(*one), one->deadline - shared_.loop.now() + last_word_time,
      [this, one](const http_result& result) { target_answered(one, result); }, answers);
}

void inbound_gateway::stop(std::uint64_t ticket) {
  const auto found = exchanges_.find(ticket);
  if (found != exchanges_.end()) {
    target_.cancel(found->second);
    exchanges_.erase(found);
  }
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

void inbound_gateway::target_answered(const inbound_request_pointer& one,
                                      const http_result& result) {
  exchanges_.erase(one->ticket);
  const target_exchange end = classify(result);
  const exchange_proof proof = proof_of(end);
  const time_point now = shared_.loop.now();
  wire::call_answer value;
  value.outcome = proof.outcome;
  value.reached_target = proof.arrived;
  value.ran_us = (now - *one->started_at).count();
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
    shared_.log.info("target_exchange_failed", {{"request", work_.attempt_id_of(*one)},
                                                {"end", value.reason},
                                                {"verdict", std::string(to_string(value.outcome))},
                                                {"target", registry_.target().has_value()
                                                               ? registry_.target()->announcement.id
                                                               : std::string()},
                                                {"ran_ms", to_ms(now - *one->started_at)}});
  }
  note_lost_target(end);
  work_.finish(one, std::move(value), end != target_exchange::success);
}

/// Stops using a target that is not there any more, until it is heard again.
void inbound_gateway::note_lost_target(target_exchange end) {
  const bool gone = end == target_exchange::not_connected || end == target_exchange::another_target;
  if (gone && registry_.target().has_value()) {
    registry_.forget(registry_.target()->announcement.id);
    target_changed();
  }
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
    work_.set_slots(registry_.target()->announcement.slots);
  }
  if (takes == std::exchange(takes_requests_, takes)) {
    return;
  }
  const auto& target = registry_.target();
  shared_.log.info("target_state",
                   {{"takes_requests", takes},
                    {"target", target.has_value() ? target->announcement.id : std::string()},
                    {"leaving", target.has_value() && target->leaving},
                    {"waiting", work_.queued()},
                    {"running", work_.slots_in_use()}});
  callbacks_.status_changed();
  if (!takes) {
    work_.refuse_waiting();
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
  if (registry_.takes_requests() && now - heard_at_ > target_silence_limit) {
    shared_.log.warning("target_silent", {{"target", registry_.target()->announcement.id},
                                          {"silent_ms", to_ms(now - heard_at_)}});
    registry_.forget(registry_.target()->announcement.id);
    target_changed();
  }
}

}  // namespace crocusdoor

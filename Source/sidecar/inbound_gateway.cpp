#include "sidecar/inbound_gateway.h"

#include <utility>

#include "daemon/request_identity.h"

namespace crocusdoor {

namespace {

constexpr duration silence_check_interval = std::chrono::milliseconds(20);
/// A target that has sent neither a heartbeat nor a response for this long is considered gone.
constexpr duration target_silence_limit = std::chrono::seconds(6);
/// A target stops working on a request at the deadline that it is sent; its response may arrive
/// this much later.
constexpr duration response_grace_time = std::chrono::milliseconds(30);
constexpr duration probe_timeout = std::chrono::milliseconds(500);
/// The target is on the same machine, so a process that listens accepts a connection at once.
constexpr duration connection_probe_timeout = std::chrono::milliseconds(100);
/// Slots assumed for a target that was found by a probe, until its first heartbeat states them.
constexpr std::int32_t discovered_slots = 4;
constexpr std::size_t connection_limit = 64;
/// Below the time of about 10 s after which targets that do not state a keep-alive time close idle
/// connections.
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

/// Decides by the attempt id that a response repeats to which request the response belongs. A
/// refusal may come without an id. It belongs to this request if the connection has carried no
/// other request; on a reused connection it may be a second copy of an earlier refusal, which does
/// not prove that this request has not run.
response_match match_target_response(const std::string& repeated_id, const std::string& id,
                                     bool success, bool new_connection) {
  if (success && repeated_id.empty() && !id.empty()) {
    return response_match::other_request;
  }
  return match_by_id(repeated_id, id, new_connection);
}

}  // namespace

inbound_gateway::inbound_gateway(const sidecar_context& shared, handlers callbacks)
    : shared_(shared),
      callbacks_(std::move(callbacks)),
      work_({shared.loop, shared.log, shared.counters, shared.contract.headers.attempt_id},
            {[this](const inbound_request& request) { return check(request); },
             callbacks_.read_from_sender,
             [this](const inbound_request_pointer& request) { run(request); },
             [this](std::uint64_t ticket) { cancel_exchange(ticket); }, callbacks_.send_response}),
      target_(shared.loop, shared.options.target.endpoint, target_client_options()),
      prober_(shared.loop, shared.options.target.endpoint, {}),
      crash_reporter_(shared, callbacks_.crash_counts_changed),
      crash_watch_(
          shared.loop,
          {[this](std::function<void(probe_result)> done) {
             return probe_connection(shared_.loop, shared_.options.target.endpoint,
                                     connection_probe_timeout, std::move(done));
           },
           [this] { return target_.oldest_connection(); },
           [this](const lost_exchanges& lost) { crash_reporter_.suspected(target_id(), lost); },
           [this](const lost_exchanges& lost, crash_evidence evidence) {
             target_ended(lost, evidence);
           },
           [this](const lost_exchanges& lost, survival_evidence evidence) {
             crash_reporter_.survived(target_id(), lost, evidence);
           }}) {
  silence_timer_ = shared_.loop.every(silence_check_interval, [this] { check_target_silence(); });
}

inbound_refusal inbound_gateway::check(const inbound_request& request) const {
  const auto& target = registry_.target();
  if (!registry_.takes_requests() || target->announcement.service != request.call.service) {
    return {target.has_value() ? "target_leaving" : "no_target"};
  }
  if (request.call.target_version.has_value() &&
      *request.call.target_version != target->announcement.version) {
    return {"other_version"};
  }
  if (shared_.crashes.empty()) {
    return {};
  }
  const duration left = shared_.crashes.refusal_left(
      identify(shared_, request.call, request.identity), shared_.loop.now());
  return left > duration::zero() ? inbound_refusal{crash_refusal_reason, left} : inbound_refusal{};
}

http_request inbound_gateway::outgoing_request(const inbound_request& request) const {
  const exchange_headers& names = shared_.contract.headers;
  http_request outgoing;
  outgoing.method = request.call.method;
  outgoing.target = request.call.path;
  outgoing.headers = {request.call.headers.begin(), request.call.headers.end()};
  outgoing.body = request.call.body.bytes;
  const duration left = request.deadline - shared_.loop.now();
  outgoing.headers[names.deadline_ms] =
      std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
  outgoing.headers[names.expected_target] = registry_.target()->announcement.id;
  return outgoing;
}

void inbound_gateway::run(const inbound_request_pointer& request) {
  const response_filter filter = [id = work_.attempt_id_of(*request),
                                  name = shared_.contract.headers.attempt_id](
                                     const http_response& response, bool new_connection) {
    return match_target_response(header_value(response.headers, name), id, is_success(response),
                                 new_connection);
  };
  const http_call call = target_.send(
      outgoing_request(*request), request->deadline - shared_.loop.now() + response_grace_time,
      [this, request](const http_result& result) { exchange_ended(request, result); }, filter,
      body_stream(request));
  exchanges_[request->ticket] = {call, counts_at_start(*request), 0,
                                 registry_.target()->announcement.born_ms};
}

std::optional<request_body_stream> inbound_gateway::body_stream(
    const inbound_request_pointer& request) {
  if (!request->call.streamed.has_value()) {
    return std::nullopt;
  }
  return request_body_stream{request->call.streamed->bytes,
                             [this, request] { request_body(*request); }};
}

void inbound_gateway::request_body(const inbound_request& request) {
  const auto found = exchanges_.find(request.ticket);
  if (found != exchanges_.end()) {
    callbacks_.request_body(
        request.from, {request.call.id, request.call.sender_incarnation, found->second.body_bytes});
  }
}

void inbound_gateway::body_received(const instance_name& from, const wire::body_part& part) {
  const inbound_request_pointer request = work_.running(from, part.sender_incarnation, part.id);
  const auto found = request == nullptr ? exchanges_.end() : exchanges_.find(request->ticket);
  if (found == exchanges_.end()) {
    return;
  }
  running_exchange& exchange = found->second;
  const auto size = request->call.streamed.value_or(wire::streamed_body{}).bytes;
  const std::uint64_t received = exchange.body_bytes + part.bytes.bytes.size();
  const bool whole = !size.has_value() || received == *size;
  if (part.offset != exchange.body_bytes || received > size.value_or(received) ||
      (part.last && !whole)) {
    // A part is missing, so the target can never get the whole body.
    work_.cancel(from, part.sender_incarnation, part.id);
    return;
  }
  exchange.body_bytes = received;
  if (part.last) {
    work_.body_completed(request->ticket);
  }
  target_.write_body(exchange.call, part.bytes.bytes, part.last);
}

std::vector<crash_count> inbound_gateway::counts_at_start(const inbound_request& request) const {
  if (shared_.crashes.empty()) {
    return {};
  }
  return shared_.crashes.counts(identify(shared_, request.call, request.identity));
}

void inbound_gateway::cancel_exchange(std::uint64_t ticket) {
  const auto found = exchanges_.find(ticket);
  if (found != exchanges_.end()) {
    target_.cancel(found->second.call);
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

void inbound_gateway::exchange_ended(const inbound_request_pointer& request,
                                     const http_result& result) {
  const running_exchange ended = std::exchange(exchanges_[request->ticket], {});
  exchanges_.erase(request->ticket);
  const target_exchange end = classify(result);
  const exchange_proof proof = proof_of(end);
  const time_point now = shared_.loop.now();
  wire::call_answer response;
  response.outcome = proof.outcome;
  response.reached_target = proof.may_have_arrived;
  response.ran_us = (now - *request->started_at).count();
  if (result.outcome == http_outcome::answered) {
    last_seen_at_ = now;
  }
  if (proof.deliverable) {
    if (result.response.headers.contains(shared_.contract.headers.seal)) {
      request_completed(*request);
    }
    const http_headers headers = end_to_end_headers(result.response.headers);
    response.status = result.response.status;
    response.headers = {headers.begin(), headers.end()};
    response.body.bytes = result.response.body;
  } else {
    response.reason = std::string(to_string(end));
    shared_.log.info("target_exchange_failed",
                     {{"request", work_.attempt_id_of(*request)},
                      {"digest", request->identity.without_features(request->call).request.str()},
                      {"end", response.reason},
                      {"verdict", std::string(to_string(response.outcome))},
                      {"target", target_id()},
                      {"ran_ms", to_ms(now - *request->started_at)}});
  }
  forget_lost_target(end);
  const bool leaving = registry_.target().has_value() && registry_.target()->leaving;
  if (end == target_exchange::connection_lost && !leaving) {
    // A crash must be known to the peers before the sender of the request tries another target.
    crash_watch_.exchange_lost(
        {request->identity.without_features(request->call).request, known_crashes(*request, ended),
         ended.target_start, now},
        [this, request, response] { work_.finish(request, response, true); });
    return;
  }
  work_.finish(request, std::move(response), end != target_exchange::success);
}

/// Stops using a target that is no longer reachable, until its next heartbeat or successful probe.
void inbound_gateway::forget_lost_target(target_exchange end) {
  const bool gone = end == target_exchange::not_connected || end == target_exchange::another_target;
  if (gone && registry_.target().has_value()) {
    registry_.forget(registry_.target()->announcement.id);
    target_changed();
  }
}

void inbound_gateway::target_ended(const lost_exchanges& lost, crash_evidence evidence) {
  crash_reporter_.ended(target_id(), lost, evidence);
  if (evidence == crash_evidence::connection_refused && registry_.target().has_value()) {
    registry_.forget(target_id());
    target_changed();
  }
}

std::string inbound_gateway::target_id() const {
  return registry_.target().has_value() ? registry_.target()->announcement.id : std::string();
}

/// The counts of a lost request when it began to run. If it has become suspected since, its
/// features are counted from now on. They are zero if no crash was known at its start, or if the
/// exchange was cancelled after its end had been noticed.
std::vector<crash_count> inbound_gateway::known_crashes(const inbound_request& request,
                                                        const running_exchange& ended) const {
  std::vector<crash_count> known =
      shared_.crashes.counts(identify(shared_, request.call, request.identity));
  if (ended.known.size() == known.size()) {
    return ended.known;
  }
  for (crash_count& count : known) {
    count.clearings = 0;
    count.crashes = 0;
  }
  if (!ended.known.empty()) {
    known.front() = ended.known.front();
  }
  return known;
}

void inbound_gateway::request_completed(const inbound_request& request) {
  if (shared_.crashes.empty()) {
    // There is no count to reset, but the report of a crash may still be on its way.
    shared_.crashes.completed(request.identity.without_features(request.call).request,
                              shared_.loop.now());
    return;
  }
  std::vector<crash_count> reset;
  for (const crash_count& known :
       shared_.crashes.counts(identify(shared_, request.call, request.identity))) {
    const auto count = shared_.crashes.completed(known.request, shared_.loop.now());
    if (count.has_value()) {
      reset.push_back(*count);
      shared_.counters.count_crash_count_reset("completed");
      shared_.log.info("crash_count_reset",
                       {{"request", count->request.str()}, {"clearings", count->clearings}});
    }
  }
  if (!reset.empty()) {
    callbacks_.crash_counts_changed(reset);
  }
}

announcement_result inbound_gateway::announce(const target_announcement& announcement) {
  const announcement_result result = registry_.announce(announcement, shared_.loop.now());
  if (result == announcement_result::accepted) {
    crash_watch_.heartbeat_received(announcement.born_ms);
  }
  if (result != announcement_result::outdated) {
    last_seen_at_ = shared_.loop.now();
  }
  target_changed();
  return result;
}

announcement_result inbound_gateway::withdraw(const target_withdrawal& withdrawal) {
  const auto wall_now = std::chrono::duration_cast<std::chrono::milliseconds>(
      event_loop::wall_now().time_since_epoch());
  const announcement_result result =
      registry_.withdraw(withdrawal.id, withdrawal.born_ms,
                         static_cast<std::uint64_t>(wall_now.count()), shared_.loop.now());
  target_changed();
  return result;
}

void inbound_gateway::restore_departure(const target_departure& departure) {
  registry_.record_departure(departure, shared_.loop.now());
  target_changed();
}

/// Reports new departures to the peers and the store, because this process loses them when it ends.
void inbound_gateway::report_departures() {
  for (const target_departure& departure : registry_.departures().all()) {
    if (reported_departures_.add(departure)) {
      shared_.log.info("target_departed", {{"target", departure.id},
                                           {"born_ms", departure.born_ms},
                                           {"start_known", departure.start_known}});
      callbacks_.target_departed(departure);
    }
  }
}

void inbound_gateway::check_target_ended(std::function<void()> ended) {
  end_probe_ =
      probe_connection(shared_.loop, shared_.options.target.endpoint, connection_probe_timeout,
                       [ended = std::move(ended)](probe_result result) {
                         if (result == probe_result::refused) {
                           ended();
                         }
                       });
}

void inbound_gateway::target_changed() {
  report_departures();
  if (registry_.target().has_value() && registry_.target()->leaving) {
    crash_watch_.target_leaving();
  }
  const bool available = registry_.takes_requests();
  if (available) {
    work_.set_slots(registry_.target()->announcement.slots);
  }
  const auto& target = registry_.target();
  const std::string version = target.has_value() ? target->announcement.version : std::string();
  const bool same_version = version == std::exchange(version_, version);
  const bool rollouts = shared_.options.bounds.exposure_share > 0;
  if (available == std::exchange(takes_requests_, available) && (same_version || !rollouts)) {
    return;
  }
  shared_.log.info("target_state",
                   {{"takes_requests", available},
                    {"target", target.has_value() ? target->announcement.id : std::string()},
                    {"version", version},
                    {"leaving", target.has_value() && target->leaving},
                    {"waiting", work_.queued()},
                    {"running", work_.slots_in_use()}});
  callbacks_.status_changed();
  if (!available) {
    work_.refuse_waiting();
  }
}

void inbound_gateway::probe_target() {
  const route_table_pointer configuration = callbacks_.configuration();
  const service_name& service = shared_.options.target.service;
  const mesh_service* service_settings =
      configuration == nullptr ? nullptr : configuration->service(service);
  if (registry_.target().has_value() || service_settings == nullptr) {
    return;
  }
  prober_.send({"GET", service_settings->health_path, {}, {}}, probe_timeout,
               [this, service](const http_result& result) {
                 const std::string& id =
                     header_value(result.response.headers, shared_.contract.headers.target_id);
                 if (result.outcome != http_outcome::answered ||
                     result.response.status != status_success || id.empty()) {
                   return;
                 }
                 target_announcement discovered;
                 discovered.id = id;
                 discovered.service = service;
                 discovered.slots = discovered_slots;
                 registry_.discover(discovered);
                 last_seen_at_ = shared_.loop.now();
                 target_changed();
               });
}

void inbound_gateway::check_target_silence() {
  const time_point now = shared_.loop.now();
  if (registry_.takes_requests() && now - last_seen_at_ > target_silence_limit) {
    shared_.log.warning("target_silent", {{"target", registry_.target()->announcement.id},
                                          {"silent_ms", to_ms(now - last_seen_at_)}});
    registry_.forget(registry_.target()->announcement.id);
    target_changed();
  }
}

}  // namespace crocusdoor

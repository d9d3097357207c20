#include "sidecar/outbound_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

#include "daemon/request_identity.h"
#include "mesh/workspace_keys.h"

namespace crocusdoor {

namespace {

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_too_many_requests = 429;
constexpr int status_server_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

/// After this many upstreams a request is not sent to another one. If all of them have refused it,
/// its caller is told to retry later.
constexpr std::size_t tried_upstreams_limit = 3;
/// A request with less time than this until its deadline is not retried: the response would come
/// too late, and the work of the upstream would be wasted.
constexpr duration minimum_time_for_retry = std::chrono::milliseconds(20);
/// Targets work until the deadline; a response sent at the deadline may need this long to arrive.
constexpr duration response_grace_time = std::chrono::milliseconds(40);
constexpr duration default_retry_after = std::chrono::milliseconds(200);
constexpr duration minimum_retry_after = std::chrono::milliseconds(50);
constexpr duration unconfigured_retry_after = std::chrono::milliseconds(500);
/// A request whose key only a newer configuration can have waits for this long for an answer.
constexpr duration hold_limit = std::chrono::milliseconds(400);
/// Usual time until a proof of the configuration is renewed.
constexpr duration unproven_retry_after = std::chrono::milliseconds(500);

const std::string authorization_header = "Authorization";

std::optional<std::int64_t> parse_integer(const std::string& text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool complete = error == std::errc() && end == text.data() + text.size() && !text.empty();
  return complete ? std::optional(value) : std::nullopt;
}

std::string seconds_text(duration span) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(span).count());
  return text.data();
}

}  // namespace

outbound_request::outbound_request(outbound_services& services,
                                   std::shared_ptr<http_exchange> exchange)
    : services_(services),
      shared_(services.shared),
      exchange_(std::move(exchange)),
      attempt_id_(header_value(exchange_->request().headers, shared_.contract.headers.attempt_id)),
      arrived_at_(shared_.loop.now()),
      deadline_(arrived_at_) {}

void outbound_request::start() {
  exchange_->on_disconnect([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->caller_disconnected();
    }
  });
  if (!find_route()) {
    return;
  }
  set_deadline();
  const std::optional<time_point> end = services_.end_of_process();
  if (end.has_value() && deadline_ + response_grace_time > *end) {
    refuse("stopping", default_retry_after);
    return;
  }
  const duration timeout = deadline_ - arrived_at_ + response_grace_time;
  deadline_timer_ = shared_.loop.after(timeout, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->deadline_passed();
    }
  });
  check_key();
}

const std::string& outbound_request::authorization() const {
  return header_value(exchange_->request().headers, authorization_header);
}

void outbound_request::check_key() {
  const key_check result =
      crocusdoor::check_key(*configuration_, route_, authorization(), services_.proof());
  if (result.decision == key_decision::unsettled && hold_for_proof()) {
    return;
  }
  hold_timer_ = nullptr;
  if (result.decision != key_decision::admitted) {
    refuse_key(result.decision);
    return;
  }
  if (result.workspace != nullptr) {
    workspace_ = wire::call_workspace{result.workspace->name, result.workspace->rank};
  }
  check_quota();
}

bool outbound_request::hold_for_proof() {
  const time_point now = shared_.loop.now();
  if (!held_until_.has_value()) {
    held_until_ = now + hold_limit;
    hold_timer_ = shared_.loop.after(hold_limit, [weak = weak_from_this()] {
      if (const auto self = weak.lock(); self != nullptr && !self->finished_) {
        self->refuse_key(key_decision::unsettled);
      }
    });
  }
  // The route is looked up again, because a newer version may have opened it.
  return now < *held_until_ && services_.await_proof([self = shared_from_this()] {
    if (!self->finished_ && self->find_route()) {
      self->check_key();
    }
  });
}

void outbound_request::refuse_key(key_decision decision) {
  const std::optional<std::string_view> key = bearer_key(authorization());
  const bool denied = decision == key_decision::denied;
  const std::string reason =
      denied ? (key.has_value() ? "key_unknown" : "key_missing") : "configuration_unproven";
  shared_.log.request(log_level::info, "key_refused",
                      {{"request", attempt_id_},
                       {"reason", reason},
                       {"known", decision == key_decision::unproven},
                       {"key", key.has_value() ? key_digest(*key) : std::string()}});
  if (!denied) {
    refuse(reason, unproven_retry_after);
    return;
  }
  shared_.counters.count_refusal(reason);
  finish({status_unauthorized, {{"WWW-Authenticate", "Bearer"}}, reason + "\n"}, verdict::not_run,
         reason);
}

void outbound_request::check_quota() {
  if (!workspace_.has_value()) {
    begin();
    return;
  }
  services_.quotas.decide(workspace_->name,
                          [self = shared_from_this()](bool admitted, duration retry_after) {
                            self->quota_decided(admitted, retry_after);
                          });
}

void outbound_request::quota_decided(bool admitted, duration retry_after) {
  if (finished_) {  // The caller has left, or its deadline has passed.
    if (admitted) {
      services_.quotas.give_back(workspace_->name);
    }
  } else if (admitted) {
    holds_token_ = true;
    begin();
  } else {
    refuse(status_too_many_requests, "quota_exceeded", retry_after);
  }
}

void outbound_request::begin() {
  prepare_call();
  services_.retries[service_].request_started(arrived_at_, shared_.retries.window);
  send_attempt();
}

bool outbound_request::find_route() {
  configuration_ = services_.configuration();
  if (configuration_ == nullptr) {
    refuse("not_configured", unconfigured_retry_after);
    return false;
  }
  version_ = configuration_->version();
  const http_request& received = exchange_->request();
  const mesh_route* matched =
      configuration_->find(header_value(received.headers, "Host"), received.target);
  if (matched == nullptr) {
    fail(status_not_found, "no_route");
    return false;
  }
  route_ = *matched;
  service_ = services_.rotation.next(route_, shared_.random);
  return true;
}

void outbound_request::set_deadline() {
  duration time_left = route_.timeout_ms;
  const auto requested = parse_integer(
      header_value(exchange_->request().headers, shared_.contract.headers.deadline_ms));
  if (requested.has_value()) {
    time_left = std::min<duration>(time_left, std::chrono::milliseconds(*requested));
  }
  deadline_ = arrived_at_ + time_left;
}

void outbound_request::prepare_call() {
  const http_request& received = exchange_->request();
  call_.service = service_;
  call_.method = received.method;
  call_.path = received.target;
  http_headers headers = end_to_end_headers(received.headers);
  // Only the mesh may name the workspace, and no target may use the key of a caller.
  headers.erase(shared_.contract.headers.workspace);
  if (!configuration_->content().workspaces.empty()) {
    headers.erase(authorization_header);
  }
  if (workspace_.has_value()) {
    headers[shared_.contract.headers.workspace] = workspace_->name.str();
  }
  headers[shared_.contract.headers.caller_service] = shared_.options.target.service.str();
  call_.headers = {headers.begin(), headers.end()};
  call_.body.bytes = received.body;
  if (exchange_->streamed()) {
    call_.streamed = wire::streamed_body{exchange_->body_length()};
  }
  call_.idempotent = route_.idempotent;
  call_.rank = route_.rank;
  call_.work_class = route_.name.str();
  call_.workspace = workspace_;
  configuration_ = nullptr;  // Running requests must not keep versions that have been replaced.
}

void outbound_request::send_attempt() {
  if (!exchange_->check_connection() || refuse_crashing()) {
    return;
  }
  const time_point now = shared_.loop.now();
  const placement choice = choose_upstream(now);
  expected_duration_ = choice.expected_response_time;
  if (!choice.instance.has_value()) {
    finish_without_upstream(choice);
    return;
  }
  const instance_name& instance = *choice.instance;
  tried_.push_back(instance);
  if (call_.streamed.has_value() && !services_.streams_bodies(instance)) {
    send_attempt();
    return;
  }
  call_.deadline_left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - now);
  call_.objective_left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      arrived_at_ + route_.latency_objective_ms - now);
  call_.attempt = static_cast<std::int32_t>(tried_.size());
  const std::size_t index = attempts_.size();
  attempts_.push_back({0, instance, now});
  choose_version(attempts_[index]);
  services_.upstreams.attempt_started(instance);
  if (!crashes_.empty()) {
    services_.send_crash_counts(instance, crashes_);
  }
  attempts_[index].id =
      services_.router.send(instance, call_, deadline_ + response_grace_time,
                            [self = shared_from_this(), index](const call_outcome& outcome) {
                              self->attempt_ended(index, outcome);
                            });
  if (call_.streamed.has_value()) {
    offer_body(attempts_[index]);
  }
}

void outbound_request::offer_body(const attempt& started) {
  services_.bodies.add(
      started.id, started.instance,
      [weak = weak_from_this()](std::size_t limit_bytes, body_sender::part_action action) {
        const auto self = weak.lock();
        if (self != nullptr && self->exchange_ != nullptr) {
          self->body_begun_ = true;
          self->exchange_->read_body(limit_bytes, std::move(action));
        }
      });
}

placement outbound_request::choose_upstream(time_point now) {
  placement_request request{
      service_,
      call_.work_class,
      route_.rank,
      tried_,
      arrived_at_ + route_.latency_objective_ms - now,
      deadline_ - now,
      services_.rollouts.rule(service_, call_.work_class, tried_.empty(), now, shared_.random)};
  placement choice = services_.upstreams.choose(request, now, shared_.random);
  if (!choice.instance.has_value() && request.versions.use == version_rule::kind::few) {
    request.versions = rollout_table::old_version_rule(request.versions);
    choice = services_.upstreams.choose(request, now, shared_.random);
  }
  return choice;
}

void outbound_request::choose_version(attempt& started) {
  const mesh_upstream* upstream = services_.upstreams.find(started.instance);
  if (upstream != nullptr) {
    started.version = upstream->version;
    started.comparable = started.sent_at >= upstream->warm_at;
  }
  call_.target_version.reset();
  if (services_.rollouts.find(service_) != nullptr) {
    call_.target_version = started.version;
  }
  services_.rollouts.attempt_started(service_, started.version);
}

bool outbound_request::refuse_crashing() {
  if (shared_.crashes.empty()) {
    return false;
  }
  const repeated_request& request = identify(shared_, call_, identity_);
  crashes_ = shared_.crashes.counts(request);
  std::erase_if(crashes_, [](const crash_count& count) { return count.crashes == 0; });
  const duration left = shared_.crashes.refusal_left(request, shared_.loop.now());
  if (left > duration::zero()) {
    give_up(crash_refusal_reason, left);
  }
  return left > duration::zero();
}

void outbound_request::give_up(const std::string& reason, duration retry_after) {
  if (failure_response_.has_value()) {
    deliver(*failure_response_);
  } else if (outcome_so_far_ == verdict::not_run) {
    refuse(reason, retry_after);
  } else {
    fail(status_bad_gateway, reason);
  }
}

/// Ends the request because no upstream is left that could respond in time.
void outbound_request::finish_without_upstream(const placement& choice) {
  if (outcome_so_far_ != verdict::not_run) {
    give_up("outcome_unknown", default_retry_after);
  } else if (choice.overloaded) {
    give_up("service_overloaded", std::max(retry_after_, choice.retry_after));
  } else {
    give_up(tried_.empty() ? "no_upstream" : "all_upstreams_refused",
            std::max(retry_after_, default_retry_after));
  }
}

void outbound_request::record_quality(const attempt& ended, const call_outcome& outcome) {
  const bool reached_target = outcome.response.has_value() && outcome.response->reached_target;
  const bool failed_at_target = reached_target && outcome.response->status >= status_server_error;
  attempt_quality quality = attempt_quality::good;
  if (outcome.outcome == verdict::not_run && !reached_target) {
    quality = attempt_quality::refused;
  } else if (outcome.outcome != verdict::ran || failed_at_target) {
    quality = attempt_quality::failed;
  }
  services_.upstreams.attempt_ended(ended.instance, quality, shared_.loop.now());
  record_version_outcome(ended, outcome, quality == attempt_quality::refused,
                         quality == attempt_quality::failed);
  if (outcome.response.has_value()) {
    services_.upstreams.load_reported(ended.instance, outcome.response->load, shared_.loop.now());
    if (outcome.outcome == verdict::ran && outcome.response->status < status_server_error) {
      services_.upstreams.service_time_measured(
          call_.work_class, duration(outcome.response->ran_us), shared_.loop.now());
      services_.upstreams.size_measured(
          call_.work_class, call_.body.bytes.size() + outcome.response->body.bytes.size());
    }
  }
}

void outbound_request::record_version_outcome(const attempt& ended, const call_outcome& outcome,
                                              bool refused, bool failed) {
  rollout_table& rollouts = services_.rollouts;
  rollouts.attempt_ended(service_, ended.version);
  const duration waited = shared_.loop.now() - ended.sent_at;
  // The loss of a machine or a link says nothing about the version.
  if (refused || outcome.reason == call_router::link_lost_reason) {
    return;
  }
  if (finished_ && outcome.outcome != verdict::ran) {
    rollouts.attempt_abandoned(service_, ended.version, call_.work_class,
                               shared_.loop.now() >= deadline_, waited);
    return;
  }
  const duration time = outcome.response.has_value() ? duration(outcome.response->ran_us) : waited;
  rollouts.outcome_observed(service_, ended.version, call_.work_class, failed, time,
                            ended.comparable);
}

void outbound_request::attempt_ended(std::size_t index, const call_outcome& outcome) {
  attempts_[index].finished = true;
  services_.bodies.remove(attempts_[index].id);
  record_quality(attempts_[index], outcome);
  if (!outcome.response.has_value() || outcome.response->reached_target) {
    ++arrivals_;
  }
  if (finished_) {
    return;
  }
  outcome_so_far_ = combine(outcome_so_far_, outcome.outcome);
  if (outcome.response.has_value()) {
    retry_after_ = std::max<duration>(retry_after_, outcome.response->retry_after_ms);
  }
  const bool has_response = outcome.outcome == verdict::ran && outcome.response.has_value();
  if (has_response && !is_retryable_failure(outcome)) {
    deliver(*outcome.response);
  } else if (!has_outstanding_attempt()) {
    log_attempt(index, outcome);
    if (has_response) {
      failure_response_ = outcome.response;
    }
    retry_or_finish(outcome);
  }
}

void outbound_request::log_attempt(std::size_t index, const call_outcome& outcome) const {
  const attempt& ended = attempts_[index];
  shared_.log.request(
      log_level::info, "attempt_ended",
      {{"request", attempt_id_},
       {"attempt", index + 1},
       {"upstream", ended.instance.str()},
       {"verdict", std::string(to_string(outcome.outcome))},
       {"status", outcome.response.has_value() ? outcome.response->status : 0},
       {"reason", outcome.response.has_value() ? outcome.response->reason : outcome.reason},
       {"took_ms", to_ms(shared_.loop.now() - ended.sent_at)}});
}

/// Whether a response is a failure that a retry on another upstream may avoid.
bool outbound_request::is_retryable_failure(const call_outcome& outcome) const {
  return route_.idempotent && outcome.response->status >= status_server_error;
}

bool outbound_request::may_retry(const call_outcome& outcome) {
  if (body_begun_) {
    return false;  // What has been passed on is not held here.
  }
  const time_point now = shared_.loop.now();
  const bool proved_not_run = outcome_so_far_ == verdict::not_run;
  if (!proved_not_run && !route_.idempotent) {
    return false;
  }
  if (outcome.response.has_value() && outcome.response->reason == crash_refusal_reason) {
    return false;  // Every other upstream would refuse it as well.
  }
  if (deadline_ - now < minimum_time_for_retry || tried_.size() >= tried_upstreams_limit) {
    return false;
  }
  if (arrivals_ >= route_.attempts) {
    return false;
  }
  const bool may_have_arrived = !outcome.response.has_value() || outcome.response->reached_target;
  // If no upstream has received the request yet, sending it to another one does not count as a
  // retry.
  return (!may_have_arrived && arrivals_ == 0) ||
         services_.retries[service_].take_repeat(shared_.retries, services_.daemon_count(), now);
}

void outbound_request::retry_or_finish(const call_outcome& outcome) {
  if (may_retry(outcome)) {
    shared_.counters.count_retry();
    if (holds_token_ && arrivals_ > 0) {
      services_.quotas.count_repeat(workspace_->name);
    }
    send_attempt();
  } else {
    give_up(outcome.response.has_value() ? outcome.response->reason : outcome.reason,
            std::max(retry_after_, default_retry_after));
  }
}

bool outbound_request::has_outstanding_attempt() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const attempt& candidate) { return !candidate.finished; });
}

void outbound_request::deadline_passed() {
  if (!finished_) {
    fail(status_gateway_timeout, "deadline_passed");
  }
}

void outbound_request::caller_disconnected() {
  if (finished_) {
    return;
  }
  finished_ = true;
  deadline_timer_ = nullptr;
  if (holds_token_ && outcome_so_far_ == verdict::not_run && !has_outstanding_attempt()) {
    services_.quotas.give_back(workspace_->name);
  }
  shared_.counters.count_departed_caller(attempts_.empty() ? "unread" : "waiting");
  shared_.log.request(log_level::info, "caller_gone",
                      {{"request", attempt_id_},
                       {"waited_ms", to_ms(shared_.loop.now() - arrived_at_)},
                       {"attempts", attempts_.size()}});
  cancel_attempts();
}

void outbound_request::cancel_attempts() {
  for (const attempt& pending : attempts_) {
    if (!pending.finished) {
      services_.bodies.remove(pending.id);
      services_.router.cancel(pending.id);
    }
  }
}

void outbound_request::deliver(const wire::call_answer& upstream_response) {
  http_response response;
  response.status = upstream_response.status;
  response.headers = {upstream_response.headers.begin(), upstream_response.headers.end()};
  response.body = upstream_response.body.bytes;
  shared_.start.reached(start_phase::first_response);
  finish(response, verdict::ran, "");
}

void outbound_request::refuse(const std::string& reason, duration retry_after) {
  refuse(status_unavailable, reason, retry_after);
}

void outbound_request::refuse(int status, const std::string& reason, duration retry_after) {
  shared_.counters.count_refusal(reason);
  http_response response;
  response.status = status;
  // Randomised, so that callers that are refused at the same time do not retry at the same time.
  const duration spread = shared_.random.up_to(retry_after / 2 + duration(1));
  response.headers["Retry-After"] =
      seconds_text(std::max(retry_after, minimum_retry_after) + spread);
  if (status == status_unavailable) {
    // Makes the caller retry on a new connection.
    response.headers["Connection"] = "close";
  }
  response.body = "not run: " + reason + "\n";
  finish(response, verdict::not_run, reason);
}

void outbound_request::fail(int status, const std::string& reason) {
  http_response response;
  response.status = status;
  response.body = reason + "\n";
  finish(response, outcome_so_far_, reason);
}

void outbound_request::log_end(int status, verdict outcome, const std::string& reason,
                               duration took) const {
  const std::initializer_list<log_item> items = {
      {"request", attempt_id_},
      {"route", route_.name.str()},
      {"service", service_.str()},
      {"workspace", workspace_.has_value() ? workspace_->name.str() : std::string()},
      {"version", version_},
      {"rank", route_.rank},
      {"objective_ms", route_.latency_objective_ms.count()},
      {"deadline_ms", to_ms(deadline_ - arrived_at_)},
      {"expected_ms", to_ms(expected_duration_)},
      {"attempts", attempts_.size()},
      {"upstream", tried_.empty() ? std::string() : tried_.back().str()},
      {"status", status},
      {"verdict", std::string(to_string(outcome))},
      {"reason", reason},
      {"took_ms", to_ms(took)}};
  shared_.log.request(reason.empty() ? log_level::info : log_level::warning, "request_ended",
                      items);
}

/// Logs and counts the response if its connection ends before the caller has acknowledged it.
void outbound_request::report_if_undelivered() {
  exchange_->on_undelivered(
      [&shared = shared_, id = attempt_id_](const undelivered_response& undelivered) {
        const std::string cause(to_string(undelivered.cause));
        shared.counters.count_undelivered_response("caller", cause);
        const bool left = undelivered.cause == delivery_failure::closed_by_client;
        shared.log.request(left ? log_level::info : log_level::warning, "response_undelivered",
                           {{"request", id}, {"cause", cause}, {"bytes", undelivered.bytes}});
      });
}

void outbound_request::finish(const http_response& response, verdict outcome,
                              const std::string& reason) {
  if (finished_) {
    return;
  }
  finished_ = true;
  deadline_timer_ = nullptr;
  if (holds_token_ && outcome == verdict::not_run && !has_outstanding_attempt()) {
    services_.quotas.give_back(workspace_->name);
  }
  const duration took = shared_.loop.now() - arrived_at_;
  shared_.counters.count_caller_request(service_.str(), outcome, response.status);
  shared_.counters.observe_caller_latency(service_.str(), took);
  log_end(response.status, outcome, reason, took);
  report_if_undelivered();
  exchange_->respond(response);
  exchange_ = nullptr;
  cancel_attempts();
}

}  // namespace crocusdoor

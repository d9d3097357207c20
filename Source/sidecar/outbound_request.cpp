#include "sidecar/outbound_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace crocusdoor {

namespace {

constexpr int status_not_found = 404;
constexpr int status_server_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

/// Upstreams whose daemons may refuse a request before its caller is told to come back.
constexpr std::size_t refusals_limit = 3;
/// A repeat that could not be answered before the deadline is not worth an upstream's work.
constexpr duration least_time_for_repeat = std::chrono::milliseconds(20);
/// Targets work until the deadline; an answer of the last moment may be on its way for this long.
constexpr duration last_answer_time = std::chrono::milliseconds(40);
constexpr duration default_retry_after = std::chrono::milliseconds(200);
constexpr duration shortest_retry_after = std::chrono::milliseconds(50);
constexpr duration unconfigured_retry_after = std::chrono::milliseconds(500);

std::optional<std::int64_t> number_in(const std::string& text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = error == std::errc() && end == text.data() + text.size() && !text.empty();
  return whole ? std::optional(value) : std::nullopt;
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
      self->caller_gone();
    }
  });
  if (!find_route()) {
    return;
  }
  set_deadline();
  const std::optional<time_point> end = services_.end_of_process();
  if (end.has_value() && deadline_ + last_answer_time > *end) {
    refuse("stopping", default_retry_after);
    return;
  }
  prepare_call();
  services_.retries[service_].request_started(arrived_at_, shared_.retries.window);
  const duration patience = deadline_ - arrived_at_ + last_answer_time;
  deadline_timer_ = shared_.loop.after(patience, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->deadline_passed();
    }
  });
  send_attempt();
}

bool outbound_request::find_route() {
  const route_table_pointer configuration = services_.configuration();
  if (configuration == nullptr) {
    refuse("not_configured", unconfigured_retry_after);
    return false;
  }
  version_ = configuration->version();
  const http_request& received = exchange_->request();
  const mesh_route* matched =
      configuration->find(header_value(received.headers, "Host"), received.target);
  if (matched == nullptr) {
    fail(status_not_found, "no_route");
    return false;
  }
  route_ = *matched;
  service_ = services_.rotation.next(route_, shared_.random);
  return true;
}

void outbound_request::set_deadline() {
  duration left = route_.timeout_ms;
  const auto requested =
      number_in(header_value(exchange_->request().headers, shared_.contract.headers.deadline_ms));
  if (requested.has_value()) {
    left = std::min<duration>(left, std::chrono::milliseconds(*requested));
  }
  deadline_ = arrived_at_ + left;
}

void outbound_request::prepare_call() {
  const http_request& received = exchange_->request();
  call_.service = service_;
  call_.method = received.method;
  call_.path = received.target;
  http_headers headers = end_to_end_headers(received.headers);
  headers[shared_.contract.headers.caller_service] = shared_.options.target.service.str();
  call_.headers = {headers.begin(), headers.end()};
  call_.body.bytes = received.body;
  call_.idempotent = route_.idempotent;
  call_.rank = route_.rank;
  call_.work_class = route_.name.str();
}

void outbound_request::send_attempt() {
  if (!exchange_->confirm_client()) {
    return;
  }
  const time_point now = shared_.loop.now();
  const placement place =
      services_.upstreams.choose({service_, call_.work_class, route_.rank, tried_,
                                  arrived_at_ + route_.latency_objective_ms - now, deadline_ - now},
                                 now, shared_.random);
  expected_ = place.expected;
  if (!place.instance.has_value()) {
    end_unplaced(place);
    return;
  }
  const instance_name& instance = *place.instance;
  tried_.push_back(instance);
  call_.deadline_left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - now);
  call_.objective_left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      arrived_at_ + route_.latency_objective_ms - now);
  call_.attempt = static_cast<std::int32_t>(tried_.size());
  const std::size_t index = attempts_.size();
  attempts_.push_back({0, instance, now});
  services_.upstreams.attempt_started(instance);
  attempts_[index].id =
      services_.router.send(instance, call_, deadline_ + last_answer_time,
                            [self = shared_from_this(), index](const call_outcome& outcome) {
                              self->attempt_ended(index, outcome);
                            });
}

/// Ends the request because no upstream is left that could answer it in time.
void outbound_request::end_unplaced(const placement& place) {
  if (failure_answer_.has_value()) {
    deliver(*failure_answer_);
  } else if (outcome_so_far_ != verdict::not_run) {
    fail(status_bad_gateway, "outcome_unknown");
  } else if (place.overloaded) {
    refuse("service_overloaded", std::max(retry_after_, place.retry_after));
  } else {
    refuse(tried_.empty() ? "no_upstream" : "all_upstreams_refused",
           std::max(retry_after_, default_retry_after));
  }
}

void outbound_request::note_quality(const attempt& ended, const call_outcome& outcome) {
  const bool reached = outcome.answer.has_value() && outcome.answer->reached_target;
  const bool failure_answered = reached && outcome.answer->status >= status_server_error;
  attempt_quality quality = attempt_quality::good;
  if (outcome.outcome == verdict::not_run && !reached) {
    quality = attempt_quality::refused;
  } else if (outcome.outcome != verdict::ran || failure_answered) {
    quality = attempt_quality::failed;
  }
  services_.upstreams.attempt_ended(ended.instance, quality, shared_.loop.now());
  if (outcome.answer.has_value()) {
    services_.upstreams.load_reported(ended.instance, outcome.answer->load, shared_.loop.now());
    if (outcome.outcome == verdict::ran && outcome.answer->status < status_server_error) {
      services_.upstreams.service_time_measured(call_.work_class, duration(outcome.answer->ran_us));
      services_.upstreams.size_measured(
          call_.work_class, call_.body.bytes.size() + outcome.answer->body.bytes.size());
    }
  }
}

void outbound_request::attempt_ended(std::size_t index, const call_outcome& outcome) {
  attempts_[index].finished = true;
  note_quality(attempts_[index], outcome);
  if (!outcome.answer.has_value() || outcome.answer->reached_target) {
    ++arrivals_;
  }
  if (finished_) {
    return;
  }
  outcome_so_far_ = combine(outcome_so_far_, outcome.outcome);
  if (outcome.answer.has_value()) {
    retry_after_ = std::max<duration>(retry_after_, outcome.answer->retry_after_ms);
  }
  const bool answered = outcome.outcome == verdict::ran && outcome.answer.has_value();
  if (answered && !worth_repeating(outcome)) {
    deliver(*outcome.answer);
  } else if (!outstanding()) {
    log_attempt(index, outcome);
    if (answered) {
      failure_answer_ = outcome.answer;
    }
    repeat_or_end(outcome);
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
       {"status", outcome.answer.has_value() ? outcome.answer->status : 0},
       {"reason", outcome.answer.has_value() ? outcome.answer->reason : outcome.reason},
       {"took_ms", to_ms(shared_.loop.now() - ended.sent_at)}});
}

/// Whether an answer is a failure that another upstream may not have.
bool outbound_request::worth_repeating(const call_outcome& outcome) const {
  return route_.idempotent && outcome.answer->status >= status_server_error;
}

bool outbound_request::may_repeat(const call_outcome& outcome) {
  const time_point now = shared_.loop.now();
  const bool proved_not_run = outcome_so_far_ == verdict::not_run;
  if (!proved_not_run && !route_.idempotent) {
    return false;
  }
  if (deadline_ - now < least_time_for_repeat || tried_.size() >= refusals_limit) {
    return false;
  }
  if (arrivals_ >= route_.attempts) {
    return false;
  }
  const bool arrived = !outcome.answer.has_value() || outcome.answer->reached_target;
  // A request that no upstream has received yet is not repeated by sending it to another one.
  return (!arrived && arrivals_ == 0) ||
         services_.retries[service_].take_repeat(shared_.retries, services_.daemon_count(), now);
}

void outbound_request::repeat_or_end(const call_outcome& outcome) {
  if (may_repeat(outcome)) {
    shared_.counters.count_retry();
    send_attempt();
  } else if (failure_answer_.has_value()) {
    deliver(*failure_answer_);
  } else if (outcome_so_far_ == verdict::not_run) {
    const std::string reason = outcome.answer.has_value() ? outcome.answer->reason : outcome.reason;
    refuse(reason, std::max(retry_after_, default_retry_after));
  } else {
    fail(status_bad_gateway, outcome.answer.has_value() ? outcome.answer->reason : outcome.reason);
  }
}

bool outbound_request::outstanding() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const attempt& one) { return !one.finished; });
}

void outbound_request::deadline_passed() {
  if (!finished_) {
    fail(status_gateway_timeout, "deadline_passed");
  }
}

void outbound_request::caller_gone() {
  if (finished_) {
    return;
  }
  finished_ = true;
  deadline_timer_ = nullptr;
  shared_.counters.count_departed_caller(attempts_.empty() ? "unread" : "waiting");
  shared_.log.request(log_level::info, "caller_gone",
                      {{"request", attempt_id_},
                       {"waited_ms", to_ms(shared_.loop.now() - arrived_at_)},
                       {"attempts", attempts_.size()}});
  cancel_attempts();
}

void outbound_request::cancel_attempts() {
  for (const attempt& one : attempts_) {
    if (!one.finished) {
      services_.router.cancel(one.id);
    }
  }
}

void outbound_request::deliver(const wire::call_answer& answer) {
  http_response response;
  response.status = answer.status;
  response.headers = {answer.headers.begin(), answer.headers.end()};
  response.body = answer.body.bytes;
  finish(response, verdict::ran, "");
}

void outbound_request::refuse(const std::string& reason, duration retry_after) {
  shared_.counters.count_refusal(reason);
  http_response response;
  response.status = status_unavailable;
  // Spread, so that the callers refused in one moment do not return in one moment.
  const duration spread = shared_.random.up_to(retry_after / 2 + duration(1));
  response.headers["Retry-After"] =
      seconds_text(std::max(retry_after, shortest_retry_after) + spread);
  // The caller comes back on a new connection.
  response.headers["Connection"] = "close";
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
      {"version", version_},
      {"rank", route_.rank},
      {"objective_ms", route_.latency_objective_ms.count()},
      {"deadline_ms", to_ms(deadline_ - arrived_at_)},
      {"expected_ms", to_ms(expected_)},
      {"attempts", attempts_.size()},
      {"upstream", tried_.empty() ? std::string() : tried_.back().str()},
      {"status", status},
      {"verdict", std::string(to_string(outcome))},
      {"reason", reason},
      {"took_ms", to_ms(took)}};
  shared_.log.request(reason.empty() ? log_level::info : log_level::warning, "request_ended",
                      items);
}

void outbound_request::finish(const http_response& response, verdict outcome,
                              const std::string& reason) {
  if (finished_) {
    return;
  }
  finished_ = true;
  deadline_timer_ = nullptr;
  const duration took = shared_.loop.now() - arrived_at_;
  shared_.counters.count_caller_request(service_.str(), outcome, response.status);
  shared_.counters.observe_caller_latency(service_.str(), took);
  log_end(response.status, outcome, reason, took);
  exchange_->respond(response);
  exchange_ = nullptr;
  cancel_attempts();
}

}  // namespace crocusdoor

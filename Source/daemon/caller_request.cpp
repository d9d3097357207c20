#include "daemon/caller_request.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "daemon/event_log.h"
#include "daemon/request_identity.h"
#include "routing/deadline.h"
#include "run_once/idempotency_key_extractor.h"

namespace crocusdoor {

namespace {

const std::string deadline_header = "X-Request-Deadline-Ms";
const std::string retries_header = "X-Crocusdoor-Retries-Left";

std::string header_or_empty(const http_headers& headers, const std::string& name) {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

std::optional<std::int64_t> header_number(const http_headers& headers, const std::string& name) {
  const std::string text = header_or_empty(headers, name);
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool valid = error == std::errc() && end == text.data() + text.size() && !text.empty();
  return valid ? std::optional(value) : std::nullopt;
}

bool is_read(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

int status_of_claim(claim_decision decision) {
  switch (decision) {
    case claim_decision::conflict:
      return 422;
    case claim_decision::in_progress:
      return 409;
    case claim_decision::in_doubt:
      return 502;
    default:
      return 503;
  }
}

/// Whether the response of a daemon says that its target is unavailable. The membership record that
/// marks the instance as not ready may arrive only after further upstreams have been chosen.
bool reports_unavailable_target(const wire::call_answer& response) {
  return response.reason == "target_not_ready" || response.reason == "target_unreachable";
}

}  // namespace

caller_request::caller_request(const caller_services& services,
                               std::shared_ptr<http_exchange> exchange)
    : services_(services),
      exchange_(std::move(exchange)),
      configuration_(services.current_snapshot()),
      span_(services.shared, "caller " + exchange_->request().method,
            header_or_empty(exchange_->request().headers, "traceparent")),
      started_at_(services.shared.loop.now()) {}

void caller_request::start() {
  exchange_->on_disconnect([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->caller_disconnected();
    }
  });
  if (!services_.ready()) {
    fail(503, verdict::not_run, "not_ready", "this instance has no confirmed configuration yet",
         std::chrono::seconds(1));
    return;
  }
  if (!prepare_call()) {
    return;
  }
  const run_once_action* action =
      find_action(*configuration_, call_.service, call_.method, call_.path);
  if (action != nullptr) {
    // Also if the route declares its writes idempotent: a retry or hedge of a request that may have
    // run would run it twice under the same claim.
    call_.idempotent = false;
    request_claim(*action);
  } else {
    send_attempt();
  }
}

bool caller_request::prepare_call() {
  const http_request& received = exchange_->request();
  const route* matched = find_route(*configuration_, received.target);
  if (matched == nullptr) {
    fail(404, verdict::not_run, "no_route", "no route covers " + received.target);
    return false;
  }
  call_.service = matched->service;
  call_.method = received.method;
  call_.path = received.target;
  call_.headers = {received.headers.begin(), received.headers.end()};
  call_.body.bytes = received.body;
  call_.priority = matched->priority;
  call_.idempotent = is_read(received.method) || matched->idempotent_writes;
  call_.traceparent = span_.traceparent();
  span_.tag("route", matched->name.str());
  span_.tag("service", matched->service.str());
  set_deadline(*matched);
  retry_budget& budget = services_.budget_of(call_.service);
  const auto received_retries_left = header_number(received.headers, retries_header);
  retries_left_ =
      received_retries_left.has_value()
          ? static_cast<std::int32_t>(std::clamp<std::int64_t>(*received_retries_left, 0, 100))
          : budget.path_retries();
  if (retries_left_ > 0) {
    budget.request_started(started_at_);
  }
  return true;
}

void caller_request::set_deadline(const route& matched) {
  duration time_left = matched.timeout_ms;
  const auto requested = header_number(exchange_->request().headers, deadline_header);
  if (requested.has_value()) {
    const auto now_ms = event_loop::wall_now().time_since_epoch().count();
    time_left = std::min<duration>(time_left, std::chrono::milliseconds(*requested - now_ms));
  }
  deadline_ = started_at_ + time_left;
}

void caller_request::request_claim(const run_once_action& action) {
  const duration time_left = deadline_ - services_.shared.loop.now();
  const wall_time expires_at =
      event_loop::wall_now() + std::chrono::duration_cast<std::chrono::milliseconds>(time_left);
  handle_failure(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(
            key, extract_key(action, call_.method, call_.path, call_.headers, call_.body.bytes));
        const claim_parameters parameters{
            {action.name, key}, body_digest(call_), expires_at, action.retention_days};
        services_.run_once.request_claim(
            parameters, [self = shared_from_this()](const claim_response& response) {
              self->claim_decided(response);
            });
        return {};
      },
      [&](const failure& error) {
        fail(400, verdict::not_run, "idempotency_key_missing", error.message);
      });
}

void caller_request::claim_decided(const claim_response& response) {
  span_.tag("claim", std::string(to_string(response.decision)));
  if (response.decision == claim_decision::granted) {
    call_.claim_held = response.granted;
    send_attempt();
    return;
  }
  if (response.decision == claim_decision::answered && response.answer.has_value()) {
    respond_with_recorded_result(*response.answer);
    return;
  }
  const bool nothing_ran =
      response.decision == claim_decision::refused || response.decision == claim_decision::conflict;
  fail(status_of_claim(response.decision), nothing_ran ? verdict::not_run : verdict::may_have_run,
       "claim_" + std::string(to_string(response.decision)), response.reason, response.retry_after);
}

void caller_request::send_attempt() {
  // A run-once request continues after its caller has disconnected, so that its outcome is
  // recorded.
  if (!finished_ && !call_.claim_held.has_value() && !exchange_->check_connection()) {
    return;
  }
  const time_point now = services_.shared.loop.now();
  const auto time_left = deadline_rule().left_for_next_hop(deadline_, now);
  if (!time_left.has_value() || finished_) {
    release_claim(combined_verdict_);
    fail(504, combined_verdict_, "deadline_exceeded", "the deadline leaves no time for an attempt");
    return;
  }
  const auto instance =
      services_.selector.choose(call_.service, now, services_.shared.random, attempted_instances_);
  if (!instance.has_value()) {
    release_claim(combined_verdict_);
    fail(503, combined_verdict_, "no_upstream",
         "no instance of service " + call_.service.str() + " takes requests",
         std::chrono::milliseconds(500));
    return;
  }
  attempted_instances_.push_back(*instance);
  call_.deadline_left_ms = *time_left;
  call_.attempt = static_cast<std::int32_t>(attempted_instances_.size());
  call_.retries_left =
      services_.budget_of(call_.service).retries_to_send(call_.attempt, retries_left_);
  call_.headers[retries_header] = std::to_string(call_.retries_left);
  const std::size_t index = attempts_.size();
  attempts_.push_back({0, *instance, now});
  services_.selector.request_sent(*instance, now);
  attempts_[index].id = services_.router.send(
      *instance, call_, deadline_, [self = shared_from_this(), index](const call_outcome& outcome) {
        self->attempt_ended(index, outcome);
      });
  if (index == 0) {
    arm_hedge();
  }
}

void caller_request::arm_hedge() {
  const auto delay =
      services_.hedges.hedge_delay(call_.service, call_.idempotent, services_.shared.loop.now());
  if (delay.has_value()) {
    hedge_timer_ = services_.shared.loop.after(*delay, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->send_hedge();
      }
    });
  }
}

void caller_request::send_hedge() {
  const time_point now = services_.shared.loop.now();
  const bool hedge_pending =
      !finished_ && !hedged_ && attempts_.size() == 1 && !attempts_[0].finished;
  if (!hedge_pending ||
      !services_.selector.hedge_can_help(attempts_[0].instance, attempts_[0].sent_at, now) ||
      !services_.hedges.may_hedge(call_.service, now) ||
      !services_.selector.choose(call_.service, now, services_.shared.random,
                                 attempted_instances_)) {
    return;
  }
  hedged_ = true;
  services_.shared.counters.count_hedge();
  span_.tag("hedged", "true");
  send_attempt();
}

void caller_request::attempt_ended(std::size_t index, const call_outcome& outcome) {
  const time_point now = services_.shared.loop.now();
  attempt& ended_attempt = attempts_[index];
  ended_attempt.finished = true;
  std::optional<load_report> load;
  if (outcome.response.has_value()) {
    load = outcome.response->load;
    if (reports_unavailable_target(*outcome.response)) {
      services_.selector.connection_failed(ended_attempt.instance, now);
    }
  } else if (outcome.reason == call_router::link_lost_reason ||
             outcome.reason == call_router::link_unavailable_reason) {
    services_.selector.connection_failed(ended_attempt.instance, now);
  }
  services_.selector.request_ended(ended_attempt.instance, now, now - ended_attempt.sent_at,
                                   outcome.outcome, load);
  if (finished_) {
    return;
  }
  combined_verdict_ = combine(combined_verdict_, outcome.outcome);
  if (outcome.outcome == verdict::ran && outcome.response.has_value()) {
    services_.hedges.record_latency(call_.service, now - ended_attempt.sent_at, now);
    respond_with_target_response(*outcome.response);
  } else if (!attempts_outstanding()) {
    retry_or_fail(outcome);
  }
}

void caller_request::retry_or_fail(const call_outcome& outcome) {
  const time_point now = services_.shared.loop.now();
  retry_budget& budget = services_.budget_of(call_.service);
  const bool retry =
      deadline_ > now &&
      budget.may_retry(combined_verdict_, call_.idempotent,
                       static_cast<std::int32_t>(attempts_.size()), retries_left_, now);
  if (retry) {
    --retries_left_;
    services_.shared.counters.count_retry();
    send_attempt();
    return;
  }
  release_claim(combined_verdict_);
  const std::string reason = outcome.reason.empty() ? "no_answer" : outcome.reason;
  const duration retry_after =
      outcome.response.has_value() ? duration(outcome.response->retry_after_ms) : duration::zero();
  const bool not_run = combined_verdict_ == verdict::not_run;
  fail(not_run ? 503 : 502, combined_verdict_, not_run ? "refused" : "outcome_unknown", reason,
       retry_after);
}

bool caller_request::attempts_outstanding() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const attempt& sent_attempt) { return !sent_attempt.finished; });
}

void caller_request::cancel_attempts() {
  for (const attempt& sent_attempt : attempts_) {
    if (!sent_attempt.finished) {
      services_.router.cancel(sent_attempt.id);
    }
  }
}

void caller_request::caller_disconnected() {
  if (finished_) {
    return;
  }
  // A run-once request continues, so that its outcome is recorded for a retry by the caller.
  if (!call_.claim_held.has_value()) {
    finished_ = true;
    span_.tag("caller", "gone");
    span_.finish();
    cancel_attempts();
  }
}

void caller_request::release_claim(verdict outcome) {
  if (call_.claim_held.has_value()) {
    services_.run_once.complete(*call_.claim_held, outcome, std::nullopt);
  }
}

void caller_request::respond_with_recorded_result(const recorded_response& recorded) {
  http_response response;
  response.status = recorded.status;
  response.headers["Content-Type"] = recorded.content_type;
  response.headers["X-Crocusdoor-Repeated"] = "true";
  response.body = recorded.body.bytes;
  finish(std::move(response), verdict::ran);
}

void caller_request::respond_with_target_response(const wire::call_answer& target_response) {
  http_response response;
  response.status = target_response.status;
  response.headers = {target_response.headers.begin(), target_response.headers.end()};
  response.body = target_response.body.bytes;
  finish(std::move(response), verdict::ran);
}

void caller_request::fail(int status, verdict outcome, const std::string& code,
                          const std::string& message, duration retry_after) {
  http_response response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  if (outcome == verdict::not_run) {
    response.headers["X-Not-Run"] = "true";
  }
  if (retry_after > duration::zero()) {
    const auto whole_seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
    response.headers["Retry-After"] = std::to_string(whole_seconds.count());
  }
  const json document = {
      {"code", code}, {"message", message}, {"verdict", std::string(to_string(outcome))}};
  response.body = document.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  span_.tag("refusal", code);
  finish(std::move(response), outcome);
}

void caller_request::finish(http_response response, verdict outcome) {
  if (finished_) {
    return;
  }
  finished_ = true;
  hedge_timer_ = nullptr;
  cancel_attempts();
  response.headers["X-Crocusdoor-Verdict"] = std::string(to_string(outcome));
  metrics& counters = services_.shared.counters;
  counters.count_caller_request(call_.service.str(), outcome, response.status);
  counters.observe_caller_latency(call_.service.str(), services_.shared.loop.now() - started_at_);
  span_.tag("verdict", std::string(to_string(outcome)));
  span_.finish();
  exchange_->respond(response);
  exchange_ = nullptr;
}

}  // namespace crocusdoor

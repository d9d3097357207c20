#include "stand_ins/caller.h"

#include <algorithm>
#include <utility>

#include "core/digest.h"

namespace crocusdoor::stand_ins {

namespace {

std::string header(const http_response& response, const std::string& name) {
  const auto found = response.headers.find(name);
  return found == response.headers.end() ? std::string() : found->second;
}

/// Whether the body is the echo of this request by a target stand-in.
bool echoes(const prepared_request& sent, const std::string& body) {
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return false;
  }
  const auto key = sent.headers.find("Idempotency-Key");
  const std::string sent_key = key == sent.headers.end() ? "" : key->second;
  return document.value("method", json()) == json(sent.method) &&
         document.value("path", json()) == json(sent.path) &&
         document.value("body_digest", json()) == json(digest_of(sent.body).str()) &&
         document.value("idempotency_key", json()) == json(sent_key);
}

std::string reason_of(call_result result, const http_result& received) {
  std::string reason(to_string(result));
  reason += received.outcome == http_outcome::answered
                ? " status " + std::to_string(received.response.status)
                : " " + std::string(to_string(received.outcome));
  const json body = json::parse(received.response.body, nullptr, false);
  for (const char* key : {"code", "message"}) {
    if (body.is_object() && body.contains(key) && body.at(key).is_string()) {
      reason += ", " + body.at(key).get<std::string>();
    }
  }
  return reason;
}

/// Of the results of several attempts, the one with the highest precedence is the result of the
/// request.
int precedence(call_result result) {
  switch (result) {
    case call_result::wrong_answer:
      return 4;
    case call_result::answered:
      return 3;
    case call_result::may_have_run:
      return 2;
    case call_result::rejected:
      return 1;
    case call_result::not_run:
      break;
  }
  return 0;
}

double milliseconds(duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

}  // namespace

json to_json(const caller_statistics& statistics) {
  json result = {{"sent", statistics.sent}, {"attempts", statistics.attempts}};
  for (const auto& [kind, name] : enum_names<call_result>::names) {
    const auto found = statistics.results.find(kind);
    result[std::string(name)] = found == statistics.results.end() ? 0 : found->second;
  }
  result["reasons"] = statistics.reasons;
  std::vector<duration> sorted = statistics.latencies;
  std::sort(sorted.begin(), sorted.end());
  json latency = json::object();
  for (const auto& [name, per_mille] :
       {std::pair{"p50", 500}, {"p90", 900}, {"p99", 990}, {"p999", 999}, {"max", 1000}}) {
    if (!sorted.empty()) {
      const std::size_t rank = (sorted.size() * static_cast<std::size_t>(per_mille) + 999) / 1000;
      latency[name] = milliseconds(sorted[std::max<std::size_t>(rank, 1) - 1]);
    }
  }
  result["latency_ms"] = latency;
  return result;
}

call_result classify(const prepared_request& sent, const http_result& received) {
  if (received.outcome == http_outcome::not_sent) {
    return call_result::not_run;
  }
  if (received.outcome != http_outcome::answered) {
    return call_result::may_have_run;
  }
  const std::string verdict = header(received.response, "X-Crocusdoor-Verdict");
  if (verdict == "not_run" || header(received.response, "X-Not-Run") == "true") {
    return call_result::not_run;
  }
  if (verdict == "may_have_run") {
    return call_result::may_have_run;
  }
  if (received.response.status != 200) {
    return call_result::rejected;
  }
  return echoes(sent, received.response.body) ? call_result::answered : call_result::wrong_answer;
}

struct caller::request_state {
  prepared_request content;
  time_point started;
  std::int32_t attempts_left = 0;
  std::int32_t in_flight = 0;
  call_result result = call_result::not_run;
  std::string reason;
};

caller::caller(event_loop& loop, caller_plan plan,
               std::function<void(const caller_statistics&)> done)
    : loop_(loop),
      plan_(std::move(plan)),
      done_(std::move(done)),
      random_(plan_.seed),
      delayed_(loop) {
  const auto connections = static_cast<std::size_t>(plan_.concurrency) * 2;
  for (const ip_endpoint& daemon : plan_.daemons) {
    daemons_.push_back(std::make_unique<http_client>(
        loop, daemon, http_client_options{.connection_limit = connections}));
  }
}

void caller::start() {
  for (std::int32_t i = 0; i < plan_.concurrency; ++i) {
    start_next();
  }
}

const planned_request& caller::pick() {
  std::size_t total = 0;
  for (const planned_request& kind : plan_.mix) {
    total += static_cast<std::size_t>(kind.weight);
  }
  std::size_t drawn = random_.index(total);
  for (const planned_request& kind : plan_.mix) {
    const auto share = static_cast<std::size_t>(kind.weight);
    if (drawn < share) {
      return kind;
    }
    drawn -= share;
  }
  return plan_.mix.back();
}

void caller::start_next() {
  if (started_ == plan_.requests) {
    return;
  }
  auto request = std::make_shared<request_state>();
  request->content = prepare(pick(), plan_.first_number + started_);
  request->started = loop_.now();
  request->attempts_left = plan_.attempts;
  ++started_;
  ++statistics_.sent;
  send(request);
}

void caller::send(const std::shared_ptr<request_state>& request) {
  --request->attempts_left;
  const int copies = plan_.send_twice ? 2 : 1;
  request->in_flight = copies;
  for (int i = 0; i < copies; ++i) {
    send_to(request, *daemons_[next_daemon_++ % daemons_.size()]);
  }
}

void caller::send_to(const std::shared_ptr<request_state>& request, http_client& daemon) {
  ++statistics_.attempts;
  http_request outgoing;
  outgoing.method = request->content.method;
  outgoing.target = request->content.path;
  outgoing.body = request->content.body;
  outgoing.headers.insert(request->content.headers.begin(), request->content.headers.end());
  daemon.send(std::move(outgoing), plan_.timeout_ms,
              [this, request](const http_result& received) { receive(request, received); });
}

void caller::receive(const std::shared_ptr<request_state>& request, const http_result& received) {
  const call_result result = classify(request->content, received);
  if (request->reason.empty() || precedence(result) >= precedence(request->result)) {
    request->result = result;
    request->reason = reason_of(result, received);
  }
  if (--request->in_flight > 0) {
    return;
  }
  const bool resend = std::find(plan_.resend_on.begin(), plan_.resend_on.end(), request->result) !=
                      plan_.resend_on.end();
  if (!resend || request->attempts_left == 0) {
    finish(*request);
  } else if (plan_.resend_pause_ms.count() > 0) {
    delayed_.after(plan_.resend_pause_ms, [this, request] { send(request); });
  } else {
    send(request);
  }
}

void caller::finish(const request_state& request) {
  ++statistics_.results[request.result];
  if (request.result == call_result::answered) {
    statistics_.latencies.push_back(loop_.now() - request.started);
  } else {
    ++statistics_.reasons[request.reason];
  }
  ++finished_;
  if (finished_ == plan_.requests) {
    done_(statistics_);
  } else {
    start_next();
  }
}

}  // namespace crocusdoor::stand_ins

#include "fake_caller.h"

#include <algorithm>
#include <utility>

namespace crocusdoor::load_benchmark {

const service_name& benchmark_service() {
  static const service_name name("statements");
  return name;
}

instance_name target_name(std::size_t target) {
  return instance_name("target-" + std::to_string(target));
}

fake_caller::fake_caller(event_queue& events, caller_location location, const caller_rules& rules,
                         std::vector<std::unique_ptr<fake_target>>& targets,
                         delay_function one_way_delay, random_source& random, call_counts& counts)
    : events_(events),
      rules_(rules),
      targets_(targets),
      one_way_delay_(std::move(one_way_delay)),
      random_(random),
      counts_(counts),
      selector_(std::move(location), rules.selection),
      retries_(rules.retry),
      hedges_(rules.hedge) {}

void fake_caller::set_upstreams(const std::vector<upstream>& upstreams,
                                const connection_limits& limits) {
  selector_.set_upstreams(benchmark_service(), upstreams, events_.now(), limits);
}

void fake_caller::submit(const std::shared_ptr<user_request>& request) {
  retries_.request_started(events_.now());
  request->retries_left = retries_.path_retries();
  const auto delay = hedges_.hedge_delay(benchmark_service(), request->idempotent, events_.now());
  events_.at(request->deadline, [this, request] { end(request, false); });
  if (delay.has_value()) {
    events_.after(*delay, [this, request] { consider_hedge(request); });
  }
  if (!send(request)) {
    end(request, false);
  }
}

bool fake_caller::send(const std::shared_ptr<user_request>& request) {
  const auto chosen =
      selector_.choose(benchmark_service(), events_.now(), random_, request->tried_upstreams);
  if (!chosen.has_value()) {
    return false;
  }
  std::size_t target = 0;
  while (target_name(target) != *chosen) {
    ++target;
  }
  ++counts_.attempts;
  const auto sent_attempt = std::make_shared<attempt>(attempt{.id = counts_.attempts,
                                                              .target = target,
                                                              .sent_at = events_.now(),
                                                              .deadline = request->deadline,
                                                              .work = request->work,
                                                              .work_class = request->work_class});
  const duration delay = one_way_delay_(target);
  sent_attempt->on_response = [this, request, weak_attempt = std::weak_ptr(sent_attempt), delay](
                                  verdict outcome, const load_report& report) {
    events_.after(delay, [this, request, sent_attempt = weak_attempt.lock(), outcome, report] {
      handle_response(request, sent_attempt, outcome, report);
    });
  };
  request->sent_attempts.push_back(sent_attempt);
  request->tried_upstreams.push_back(*chosen);
  selector_.request_sent(*chosen, events_.now());
  events_.after(delay,
                [this, sent_attempt] { targets_[sent_attempt->target]->receive(sent_attempt); });
  return true;
}

void fake_caller::handle_response(const std::shared_ptr<user_request>& request,
                                  const std::shared_ptr<attempt>& sent_attempt, verdict outcome,
                                  const load_report& report) {
  counts_.refusals += outcome == verdict::not_run ? 1 : 0;
  counts_.refused_but_executed += outcome == verdict::not_run && sent_attempt->executed ? 1 : 0;
  if (std::exchange(sent_attempt->settled, true)) {
    return;
  }
  const duration latency = events_.now() - sent_attempt->sent_at;
  selector_.request_ended(target_name(sent_attempt->target), events_.now(), latency, outcome,
                          report);
  if (outcome == verdict::not_run) {
    handle_refusal(request);
    return;
  }
  hedges_.record_latency(benchmark_service(), latency, events_.now());
  end(request, true);
}

void fake_caller::handle_refusal(const std::shared_ptr<user_request>& request) {
  const bool others_pending = std::any_of(
      request->sent_attempts.begin(), request->sent_attempts.end(),
      [](const std::shared_ptr<attempt>& sent_attempt) { return !sent_attempt->settled; });
  if (request->done || others_pending) {
    return;
  }
  ++request->attempts;
  if (retries_.may_retry(verdict::not_run, request->idempotent, request->attempts,
                         request->retries_left, events_.now())) {
    --request->retries_left;
    if (send(request)) {
      ++counts_.retries;
      return;
    }
  }
  end(request, false);
}

void fake_caller::consider_hedge(const std::shared_ptr<user_request>& request) {
  if (request->done || request->sent_attempts.size() != 1) {
    return;
  }
  const attempt& first = *request->sent_attempts.front();
  if (selector_.hedge_can_help(target_name(first.target), first.sent_at, events_.now()) &&
      hedges_.may_hedge(benchmark_service(), events_.now()) && send(request)) {
    ++counts_.hedges;
  }
}

void fake_caller::end(const std::shared_ptr<user_request>& request, bool success) {
  if (std::exchange(request->done, true)) {
    return;
  }
  request->answered = success;
  request->latency = events_.now() - request->arrival;
  for (const auto& sent_attempt : request->sent_attempts) {
    if (std::exchange(sent_attempt->settled, true)) {
      continue;
    }
    selector_.request_ended(target_name(sent_attempt->target), events_.now(),
                            events_.now() - sent_attempt->sent_at, verdict::may_have_run);
    if (rules_.cancels) {
      events_.after(one_way_delay_(sent_attempt->target), [this, sent_attempt] {
        targets_[sent_attempt->target]->cancel(sent_attempt->id);
      });
    }
  }
  request->sent_attempts.clear();
  if (!success) {
    failure_handler_(request);
  }
}

}  // namespace crocusdoor::load_benchmark

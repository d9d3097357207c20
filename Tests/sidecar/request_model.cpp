#include "request_model.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "model_log.h"
#include "request_model_process.h"

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t process_count = 5;
constexpr std::int32_t slots = 2;
/// Time in which a caller's leaving must have its effect.
constexpr duration leaving_limit = milliseconds(500);
constexpr duration last_answer_time = milliseconds(40);
constexpr duration check_interval = milliseconds(20);
constexpr std::size_t attempts_limit = 3;
const service_name called_service("s");
const std::string number_header = "number";

}  // namespace

request_model::request_model(std::uint64_t seed) : random_(seed) {
  for (std::size_t index = 0; index < process_count; ++index) {
    processes_.push_back(std::make_unique<process>());
    processes_[index]->name = instance_name("d" + std::to_string(index));
    positions_[processes_[index]->name] = index;
  }
  for (std::size_t index = 0; index < process_count; ++index) {
    start_process(index);
  }
  check_timer_ = timers_.every(check_interval, [this] { check_running(); });
  run_for(milliseconds(10));
}

request_model::~request_model() {
  for (std::size_t index = 0; index < process_count; ++index) {
    end_process(index);
  }
}

void request_model::start_process(std::size_t index) {
  process& one = *processes_[index];
  ++one.starts;
  one.timers = std::make_unique<process_timers>(timers_, random_);
  one.log = std::make_unique<decision_log>(*one.timers, one.name.str(), model_log_settings(),
                                           STDOUT_FILENO);
  one.connections = std::make_unique<links>(*this, index);
  const auto incarnation = static_cast<std::uint64_t>(one.starts);
  one.router = std::make_unique<call_router>(
      *one.timers, peer_process{one.name, incarnation}, *one.connections,
      call_router::handlers{
          [&one](const wire::call& call) { one.work->receive(one.name, call); },
          [&one, incarnation](wire::request_id id) { one.work->cancel(one.name, incarnation, id); },
          [] {}, [](const instance_name&, wire::request_id, bool) {}});
  one.work = std::make_unique<inbound_work>(
      inbound_work::context{*one.timers, *one.log, one.counters, number_header},
      inbound_work::handlers{
          [](const service_name&) { return std::string(); },
          [this, index](const inbound_request& asked) {
            return hear(index, asked.from, asked.call.link);
          },
          [this, index](const inbound_request_pointer& asked) { target_starts(index, asked); },
          [&one](std::uint64_t ticket) { one.runs.erase(ticket); },
          [&one](const instance_name& to, const wire::call_answer& answer) {
            if (to == one.name) {
              one.router->local_answer(answer);
            } else {
              one.connections->send(to, answer);
            }
          }});
  one.work->set_slots(slots);
  message_dispatcher& dispatcher = one.connections->dispatcher();
  dispatcher.on<wire::call>(
      [&one](const auto& from, const wire::call& call) { one.work->receive(from, call); });
  dispatcher.on<wire::call_cancel>([&one](const auto& from, const wire::call_cancel& content) {
    one.work->cancel(from, one.connections->canceller(from, content), content.id);
  });
  dispatcher.on<wire::call_status>([&one](const auto& from, const wire::call_status& query) {
    one.connections->send(from, one.work->status(from, query));
  });
  dispatcher.on<wire::hello>([&one](const auto& from, const wire::hello& greeting) {
    one.connections->greet(from, greeting.self.incarnation);
    one.work->peer_established(from, greeting.self.incarnation);
    one.router->peer_established(from);
  });
  for (std::size_t peer = 0; peer < size(); ++peer) {
    if (peer != index && processes_[peer]->up()) {
      connect(index, peer);
    }
  }
}

void request_model::end_process(std::size_t index) {
  process& one = *processes_[index];
  for (const session_pointer& session : std::vector<session_pointer>(sessions_)) {
    if (session->ends[0].process == index || session->ends[1].process == index) {
      disconnect(session);
      session->of(index).ended = true;
      session->of(index).unread.clear();
    }
  }
  for (request& asked : requests_) {
    if (asked.plan.origin != index) {
      continue;
    }
    asked.deadline_timer = nullptr;
    if (!std::exchange(asked.finished, true)) {
      // The connection of the caller ends with the process.
      asked.leaving_seen_at = asked.leaving_seen_at.value_or(timers_.now());
    }
  }
  one.runs.clear();
  one.work = nullptr;
  one.router = nullptr;
  one.connections = nullptr;
  one.log = nullptr;
  one.timers = nullptr;
}

std::size_t request_model::send(const request_plan& plan) {
  const std::size_t number = requests_.size();
  requests_.push_back({});
  request& asked = requests_.back();
  asked.plan = plan;
  process& origin = *processes_[plan.origin];
  asked.origin_start = origin.starts;
  if (!origin.up()) {
    asked.finished = true;
    return number;
  }
  origin.timers->post([this, number] { request_read(number); });
  timers_.post(plan.patience, [this, number] {
    request& left = requests_[number];
    process& at = *processes_[left.plan.origin];
    if (left.finished || !at.up() || at.starts != left.origin_start) {
      return;
    }
    left.left_at = timers_.now();
    left.leaving_seen_at = std::max(timers_.now(), at.stalled_until);
    at.timers->post([this, number] { give_up(number); });
  });
  return number;
}

void request_model::request_read(std::size_t number) {
  request& asked = requests_[number];
  asked.deadline_timer = processes_[asked.plan.origin]->timers->after(
      asked.plan.deadline + last_answer_time, [this, number] { give_up(number); });
  send_attempt(number);
}

void request_model::send_attempt(std::size_t number) {
  request& asked = requests_[number];
  if (asked.left_at.has_value()) {
    asked.finished = true;  // The sidecar looks at the caller's connection before each attempt.
    return;
  }
  std::size_t target = asked.plan.target.value_or(random_.index(size()));
  if (!asked.attempts.empty()) {
    target = random_.index(size());
  }
  process& origin = *processes_[asked.plan.origin];
  wire::call call;
  call.service = called_service;
  call.headers[number_header] = std::to_string(number);
  call.idempotent = asked.plan.idempotent;
  call.deadline_left_ms = std::chrono::duration_cast<milliseconds>(asked.plan.deadline);
  call.objective_left_ms = call.deadline_left_ms;
  const std::size_t index = asked.attempts.size();
  asked.attempts.push_back({0, target, processes_[target]->starts, false, false, false});
  const wire::request_id id = origin.router->send(
      processes_[target]->name, call, timers_.now() + asked.plan.deadline + last_answer_time,
      [this, number, index](const call_outcome& outcome) {
        attempt_ended(number, index, outcome);
      });
  requests_[number].attempts[index].id = id;
}

void request_model::attempt_ended(std::size_t number, std::size_t index,
                                  const call_outcome& outcome) {
  request& asked = requests_[number];
  attempt& ended = asked.attempts[index];
  ended.ended = true;
  if (outcome.outcome == verdict::not_run) {
    ended.reported_not_run = true;
    if (ended.started) {
      report("request " + std::to_string(number) + " ran and was reported as not run");
    }
  }
  if (asked.finished) {
    return;
  }
  const bool repeat = outcome.outcome == verdict::not_run ||
                      (outcome.outcome == verdict::may_have_run && asked.plan.idempotent);
  if (repeat && asked.attempts.size() < attempts_limit) {
    send_attempt(number);
  } else {
    asked.finished = true;
    asked.deadline_timer = nullptr;
  }
}

void request_model::give_up(std::size_t number) {
  request& asked = requests_[number];
  if (asked.finished) {
    return;
  }
  asked.finished = true;
  asked.deadline_timer = nullptr;
  for (const attempt& one : std::vector<attempt>(asked.attempts)) {
    if (!one.ended) {
      processes_[asked.plan.origin]->router->cancel(one.id);
    }
  }
}

void request_model::target_starts(std::size_t target, const inbound_request_pointer& one) {
  const std::size_t number = std::stoul(one->call.headers.at(number_header));
  request& asked = requests_[number];
  ++asked.starts;
  for (attempt& sent : asked.attempts) {
    if (sent.id == one->call.id && sent.target == target) {
      sent.started = true;
      check_start(asked, sent, target);
    }
  }
  if (!asked.plan.idempotent && asked.starts > 1) {
    report("request " + std::to_string(number) + " may run only once and ran twice");
  }
  process& at = *processes_[target];
  at.runs[one->ticket] = {number, at.timers->after(asked.plan.work, [&at, one] {
                            at.runs.erase(one->ticket);
                            wire::call_answer answer;
                            answer.outcome = verdict::ran;
                            answer.status = 200;
                            at.work->finish(one, answer, false);
                          })};
}

void request_model::check_start(const request& asked, const attempt& started, std::size_t target) {
  if (started.reported_not_run) {
    report("a request that was reported as not run has started");
  }
  const bool late =
      asked.leaving_seen_at.has_value() && timers_.now() - *asked.leaving_seen_at > leaving_limit;
  if (late && !silent_lately(asked.plan.origin, target)) {
    report("request " + std::to_string(&asked - requests_.data()) + " started " +
           std::to_string(to_ms(timers_.now() - *asked.leaving_seen_at)) +
           " ms after its caller had left");
  }
}

void request_model::check_running() {
  for (std::size_t target = 0; target < size(); ++target) {
    const process& at = *processes_[target];
    for (const auto& [ticket, one] : at.runs) {
      const request& asked = requests_[one.request];
      if (!asked.plan.idempotent || !asked.leaving_seen_at.has_value() ||
          silent_lately(asked.plan.origin, target)) {
        continue;
      }
      const time_point known = std::max(*asked.leaving_seen_at, at.stalled_until);
      if (timers_.now() - known > leaving_limit) {
        report("request " + std::to_string(one.request) + " still runs " +
               std::to_string(to_ms(timers_.now() - known)) + " ms after its caller has left");
      }
    }
  }
}

void request_model::report(const std::string& what) {
  if (!broken_.has_value()) {
    broken_ = {what, timers_.now() - time_point{}};
  }
}

int request_model::running() const {
  std::size_t count = 0;
  for (const auto& one : processes_) {
    count += one->runs.size();
  }
  return static_cast<int>(count);
}

bool request_model::silent_lately(std::size_t one, std::size_t other) const {
  const auto found = silenced_at_.find(std::minmax(one, other));
  return found != silenced_at_.end() &&
         timers_.now() - found->second < request_model::silence_limit + leaving_limit + seconds(1);
}

void request_model::stall(std::size_t index, duration span) {
  process& one = *processes_[index];
  if (one.up()) {
    one.stalled_until = std::max(one.stalled_until, timers_.now() + span);
    one.timers->freeze_until(one.stalled_until);
  }
}

void request_model::kill(std::size_t index, duration down) {
  end_process(index);
  timers_.post(down, [this, index] {
    if (!processes_[index]->up()) {
      start_process(index);
    }
  });
}

duration request_model::between(duration least, duration most) {
  return least + random_.up_to(most - least);
}

void request_model::inject_fault() {
  const std::size_t one = random_.index(size());
  const std::size_t other = (one + 1 + random_.index(size() - 1)) % size();
  const std::size_t kind = random_.index(20);
  if (kind < 9) {
    stall(one, between(milliseconds(50), milliseconds(900)));
  } else if (kind < 16) {
    reset(one, other, between(duration::zero(), milliseconds(1'500)));
  } else if (kind < 19) {
    silence(one, other);
  } else {
    kill(one, between(milliseconds(50), milliseconds(500)));
  }
}

void request_model::run_random_day() {
  const duration day = seconds(20);
  const time_point end = timers_.now() + day;
  while (timers_.now() < end && !broken_.has_value()) {
    for (int count = 0; count < 6; ++count) {
      request_plan plan;
      plan.origin = random_.index(size());
      plan.idempotent = random_.index(2) == 0;
      plan.work = between(milliseconds(20), milliseconds(700));
      plan.patience = between(milliseconds(5), milliseconds(2'500));
      plan.deadline = between(milliseconds(500), milliseconds(3'000));
      send(plan);
    }
    if (random_.index(3) == 0) {
      inject_fault();
    }
    run_for(between(milliseconds(20), milliseconds(250)));
  }
  run_for(seconds(4));
}

}  // namespace crocusdoor

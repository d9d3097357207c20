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
/// Time within which the disconnect of a caller must take effect at the target.
constexpr duration disconnect_reaction_limit = milliseconds(500);
constexpr duration response_grace_time = milliseconds(40);
constexpr duration check_interval = milliseconds(20);
constexpr std::size_t attempt_limit = 3;
const service_name target_service("s");
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
  check_timer_ = timers_.every(check_interval, [this] { check_running_requests(); });
  run_for(milliseconds(10));
}

request_model::~request_model() {
  for (std::size_t index = 0; index < process_count; ++index) {
    end_process(index);
  }
}

void request_model::start_process(std::size_t index) {
  process& daemon = *processes_[index];
  ++daemon.starts;
  daemon.timers = std::make_unique<process_timers>(timers_, random_);
  daemon.log = std::make_unique<decision_log>(*daemon.timers, daemon.name.str(),
                                              model_log_settings(), STDOUT_FILENO);
  daemon.connections = std::make_unique<links>(*this, index);
  const auto incarnation = static_cast<std::uint64_t>(daemon.starts);
  daemon.router = std::make_unique<call_router>(
      *daemon.timers, peer_process{daemon.name, incarnation}, *daemon.connections,
      call_router::handlers{
          [&daemon](const wire::call& call) { daemon.work->receive(daemon.name, call); },
          [&daemon, incarnation](wire::request_id id) {
            daemon.work->cancel(daemon.name, incarnation, id);
          },
          [] {}, [](const instance_name&, wire::request_id, bool) {}});
  daemon.work = std::make_unique<inbound_work>(
      inbound_work::context{*daemon.timers, *daemon.log, daemon.counters, number_header},
      inbound_work::handlers{[](const inbound_request&) { return inbound_refusal(); },
                             [this, index](const inbound_request& request) {
                               return read_all(index, request.from, request.call.link);
                             },
                             [this, index](const inbound_request_pointer& request) {
                               start_at_target(index, request);
                             },
                             [&daemon](std::uint64_t ticket) { daemon.runs.erase(ticket); },
                             [&daemon](const instance_name& to, const wire::call_answer& response) {
                               if (to == daemon.name) {
                                 daemon.router->receive_local_response(response);
                               } else {
                                 daemon.connections->send(to, response);
                               }
                             }});
  daemon.work->set_slots(slots);
  message_dispatcher& dispatcher = daemon.connections->dispatcher();
  dispatcher.on<wire::call>(
      [&daemon](const auto& from, const wire::call& call) { daemon.work->receive(from, call); });
  dispatcher.on<wire::call_cancel>([&daemon](const auto& from, const wire::call_cancel& content) {
    daemon.work->cancel(from, daemon.connections->call_sender_incarnation(from, content),
                        content.id);
  });
  dispatcher.on<wire::call_status>([&daemon](const auto& from, const wire::call_status& query) {
    daemon.connections->send(from, daemon.work->status(from, query));
  });
  dispatcher.on<wire::hello>([&daemon](const auto& from, const wire::hello& greeting) {
    daemon.connections->greet(from, greeting.self.incarnation);
    daemon.work->peer_established(from, greeting.self.incarnation);
    daemon.router->peer_established(from);
  });
  for (std::size_t peer = 0; peer < size(); ++peer) {
    if (peer != index && processes_[peer]->up()) {
      connect(index, peer);
    }
  }
}

void request_model::end_process(std::size_t index) {
  process& daemon = *processes_[index];
  for (const session_pointer& session : std::vector<session_pointer>(sessions_)) {
    if (session->ends[0].process == index || session->ends[1].process == index) {
      disconnect(session);
      session->of(index).ended = true;
      session->of(index).unread.clear();
    }
  }
  for (model_request& request : requests_) {
    if (request.plan.origin != index) {
      continue;
    }
    request.deadline_timer = nullptr;
    if (!std::exchange(request.finished, true)) {
      // The connection of the caller ends with the process.
      request.disconnect_visible_at = request.disconnect_visible_at.value_or(timers_.now());
    }
  }
  daemon.runs.clear();
  daemon.work = nullptr;
  daemon.router = nullptr;
  daemon.connections = nullptr;
  daemon.log = nullptr;
  daemon.timers = nullptr;
}

std::size_t request_model::send(const request_plan& plan) {
  const std::size_t number = requests_.size();
  requests_.push_back({});
  model_request& request = requests_.back();
  request.plan = plan;
  process& origin = *processes_[plan.origin];
  request.origin_start = origin.starts;
  if (!origin.up()) {
    request.finished = true;
    return number;
  }
  origin.timers->post([this, number] { request_received(number); });
  timers_.post(plan.caller_timeout, [this, number] {
    model_request& sent_request = requests_[number];
    process& origin_process = *processes_[sent_request.plan.origin];
    if (sent_request.finished || !origin_process.up() ||
        origin_process.starts != sent_request.origin_start) {
      return;
    }
    sent_request.disconnected_at = timers_.now();
    sent_request.disconnect_visible_at = std::max(timers_.now(), origin_process.frozen_until);
    origin_process.timers->post([this, number] { cancel_request(number); });
  });
  return number;
}

void request_model::request_received(std::size_t number) {
  model_request& request = requests_[number];
  request.deadline_timer = processes_[request.plan.origin]->timers->after(
      request.plan.deadline + response_grace_time, [this, number] { cancel_request(number); });
  send_attempt(number);
}

void request_model::send_attempt(std::size_t number) {
  model_request& request = requests_[number];
  if (request.disconnected_at.has_value()) {
    request.finished = true;  // The sidecar checks the caller's connection before each attempt.
    return;
  }
  std::size_t target = request.plan.target.value_or(random_.index(size()));
  if (!request.attempts.empty()) {
    target = random_.index(size());
  }
  process& origin = *processes_[request.plan.origin];
  wire::call call;
  call.service = target_service;
  call.headers[number_header] = std::to_string(number);
  call.idempotent = request.plan.idempotent;
  call.deadline_left_ms = std::chrono::duration_cast<milliseconds>(request.plan.deadline);
  call.objective_left_ms = call.deadline_left_ms;
  const std::size_t index = request.attempts.size();
  request.attempts.push_back({0, target, processes_[target]->starts, false, false, false});
  const wire::request_id id = origin.router->send(
      processes_[target]->name, call, timers_.now() + request.plan.deadline + response_grace_time,
      [this, number, index](const call_outcome& outcome) {
        attempt_ended(number, index, outcome);
      });
  requests_[number].attempts[index].id = id;
}

void request_model::attempt_ended(std::size_t number, std::size_t index,
                                  const call_outcome& outcome) {
  model_request& request = requests_[number];
  attempt& ended = request.attempts[index];
  ended.ended = true;
  if (outcome.outcome == verdict::not_run) {
    ended.reported_not_run = true;
    if (ended.started) {
      report("request " + std::to_string(number) + " ran and was reported as not run");
    }
  }
  if (request.finished) {
    return;
  }
  const bool retry = outcome.outcome == verdict::not_run ||
                     (outcome.outcome == verdict::may_have_run && request.plan.idempotent);
  if (retry && request.attempts.size() < attempt_limit) {
    send_attempt(number);
  } else {
    request.finished = true;
    request.deadline_timer = nullptr;
  }
}

void request_model::cancel_request(std::size_t number) {
  model_request& request = requests_[number];
  if (request.finished) {
    return;
  }
  request.finished = true;
  request.deadline_timer = nullptr;
  for (const attempt& pending : std::vector<attempt>(request.attempts)) {
    if (!pending.ended) {
      processes_[request.plan.origin]->router->cancel(pending.id);
    }
  }
}

void request_model::start_at_target(std::size_t target, const inbound_request_pointer& inbound) {
  const std::size_t number = std::stoul(inbound->call.headers.at(number_header));
  model_request& request = requests_[number];
  ++request.starts;
  for (attempt& sent : request.attempts) {
    if (sent.id == inbound->call.id && sent.target == target) {
      sent.started = true;
      check_start(request, sent, target);
    }
  }
  if (!request.plan.idempotent && request.starts > 1) {
    report("request " + std::to_string(number) + " may run only once and ran twice");
  }
  process& target_process = *processes_[target];
  target_process.runs[inbound->ticket] = {
      number, target_process.timers->after(request.plan.work, [&target_process, inbound] {
        target_process.runs.erase(inbound->ticket);
        wire::call_answer response;
        response.outcome = verdict::ran;
        response.status = 200;
        target_process.work->finish(inbound, response, false);
      })};
}

void request_model::check_start(const model_request& request, const attempt& started,
                                std::size_t target) {
  if (started.reported_not_run) {
    report("a request that was reported as not run has started");
  }
  const bool late = request.disconnect_visible_at.has_value() &&
                    timers_.now() - *request.disconnect_visible_at > disconnect_reaction_limit;
  if (late && !recently_silent(request.plan.origin, target)) {
    report("request " + std::to_string(&request - requests_.data()) + " started " +
           std::to_string(to_ms(timers_.now() - *request.disconnect_visible_at)) +
           " ms after its caller had disconnected");
  }
}

void request_model::check_running_requests() {
  for (std::size_t target = 0; target < size(); ++target) {
    const process& target_process = *processes_[target];
    for (const auto& [ticket, target_run] : target_process.runs) {
      const model_request& request = requests_[target_run.request];
      if (!request.plan.idempotent || !request.disconnect_visible_at.has_value() ||
          recently_silent(request.plan.origin, target)) {
        continue;
      }
      const time_point visible_at =
          std::max(*request.disconnect_visible_at, target_process.frozen_until);
      if (timers_.now() - visible_at > disconnect_reaction_limit) {
        report("request " + std::to_string(target_run.request) + " still runs " +
               std::to_string(to_ms(timers_.now() - visible_at)) +
               " ms after its caller has disconnected");
      }
    }
  }
}

void request_model::report(const std::string& description) {
  if (!violation_.has_value()) {
    violation_ = {description, timers_.now() - time_point{}};
  }
}

int request_model::running() const {
  std::size_t count = 0;
  for (const auto& daemon : processes_) {
    count += daemon->runs.size();
  }
  return static_cast<int>(count);
}

bool request_model::recently_silent(std::size_t first, std::size_t second) const {
  const auto found = silenced_at_.find(std::minmax(first, second));
  return found != silenced_at_.end() &&
         timers_.now() - found->second <
             request_model::silence_limit + disconnect_reaction_limit + seconds(1);
}

void request_model::freeze(std::size_t index, duration span) {
  process& daemon = *processes_[index];
  if (daemon.up()) {
    daemon.frozen_until = std::max(daemon.frozen_until, timers_.now() + span);
    daemon.timers->freeze_until(daemon.frozen_until);
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

duration request_model::random_duration(duration minimum, duration maximum) {
  return minimum + random_.up_to(maximum - minimum);
}

void request_model::inject_fault() {
  const std::size_t first = random_.index(size());
  const std::size_t second = (first + 1 + random_.index(size() - 1)) % size();
  const std::size_t kind = random_.index(20);
  if (kind < 9) {
    freeze(first, random_duration(milliseconds(50), milliseconds(900)));
  } else if (kind < 16) {
    reset(first, second, random_duration(duration::zero(), milliseconds(1'500)));
  } else if (kind < 19) {
    silence(first, second);
  } else {
    kill(first, random_duration(milliseconds(50), milliseconds(500)));
  }
}

void request_model::run_random_scenario() {
  const duration scenario_time = seconds(20);
  const time_point end = timers_.now() + scenario_time;
  while (timers_.now() < end && !violation_.has_value()) {
    for (int count = 0; count < 6; ++count) {
      request_plan plan;
      plan.origin = random_.index(size());
      plan.idempotent = random_.index(2) == 0;
      plan.work = random_duration(milliseconds(20), milliseconds(700));
      plan.caller_timeout = random_duration(milliseconds(5), milliseconds(2'500));
      plan.deadline = random_duration(milliseconds(500), milliseconds(3'000));
      send(plan);
    }
    if (random_.index(3) == 0) {
      inject_fault();
    }
    run_for(random_duration(milliseconds(20), milliseconds(250)));
  }
  run_for(seconds(4));
}

}  // namespace crocusdoor

#include "fake_target.h"

#include <utility>

namespace crocusdoor::load_benchmark {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(10);
constexpr duration load_sample_interval = std::chrono::milliseconds(50);

}  // namespace

fake_target::fake_target(event_queue& events, admission_policy policy, duration report_delay)
    : events_(events), admission_(std::move(policy)), report_delay_(report_delay) {
  if (report_delay_ > duration(0)) {
    sample_load();
  }
}

void fake_target::receive(const std::shared_ptr<attempt>& incoming) {
  const admission_decision decision = admission_.offer(
      {.ticket = incoming->id, .deadline = incoming->deadline, .work_class = incoming->work_class},
      events_.now());
  attempts_[incoming->id] = incoming;
  if (decision.outcome == admission_outcome::started) {
    start(incoming);
  } else if (decision.outcome == admission_outcome::refused) {
    refuse(incoming->id);
  }
  apply(decision.changes);
  schedule_tick();
}

void fake_target::cancel(std::uint64_t id) {
  const cancel_result result = admission_.cancel(id, events_.now());
  if (result.outcome == cancel_outcome::was_waiting) {
    attempts_.erase(id);
  }
  apply(result.changes);
}

void fake_target::apply(const admission_changes& changes) {
  for (const admission_ticket ticket : changes.started) {
    start(attempts_.at(ticket));
  }
  for (const refused_ticket& refused : changes.refused) {
    refuse(refused.ticket);
  }
}

void fake_target::start(const std::shared_ptr<attempt>& admitted) {
  admitted->executed = true;
  const auto service_time =
      static_cast<duration::rep>(static_cast<double>(admitted->work.count()) * slowdown_);
  events_.after(duration(service_time), [this, admitted] {
    const admission_changes changes = admission_.finished(admitted->id, events_.now());
    attempts_.erase(admitted->id);
    admitted->on_response(verdict::ran, reported_load());
    apply(changes);
  });
}

void fake_target::refuse(std::uint64_t id) {
  const std::shared_ptr<attempt> refused_attempt = attempts_.at(id);
  attempts_.erase(id);
  refused_attempt->on_response(verdict::not_run, reported_load());
}

load_report fake_target::reported_load() const {
  return report_delay_ > duration(0) ? past_loads_.front() : admission_.load();
}

void fake_target::sample_load() {
  past_loads_.push_back(admission_.load());
  if (past_loads_.size() > static_cast<std::size_t>(report_delay_ / load_sample_interval)) {
    past_loads_.pop_front();
  }
  events_.after(load_sample_interval, [this] { sample_load(); });
}

void fake_target::schedule_tick() {
  if (tick_scheduled_ || admission_.load().queued == 0) {
    return;
  }
  tick_scheduled_ = true;
  events_.after(tick_interval, [this] {
    tick_scheduled_ = false;
    apply(admission_.tick(events_.now()));
    schedule_tick();
  });
}

}  // namespace crocusdoor::load_benchmark

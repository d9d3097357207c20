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

void fake_target::receive(const std::shared_ptr<attempt>& one) {
  const admission_decision decision = admission_.offer(
      {.ticket = one->id, .deadline = one->deadline, .work_class = one->work_class}, events_.now());
  present_[one->id] = one;
  if (decision.outcome == admission_outcome::started) {
    start(one);
  } else if (decision.outcome == admission_outcome::refused) {
    refuse(one->id);
  }
  apply(decision.changes);
  schedule_tick();
}

void fake_target::cancel(std::uint64_t id) {
  const cancel_result result = admission_.cancel(id, events_.now());
  if (result.outcome == cancel_outcome::was_waiting) {
    present_.erase(id);
  }
  apply(result.changes);
}

void fake_target::apply(const admission_changes& changes) {
  for (const admission_ticket ticket : changes.started) {
    start(present_.at(ticket));
  }
  for (const refused_ticket& refused : changes.refused) {
    refuse(refused.ticket);
  }
}

void fake_target::start(const std::shared_ptr<attempt>& one) {
  one->executed = true;
  const auto time = static_cast<duration::rep>(static_cast<double>(one->work.count()) * slowdown_);
  events_.after(duration(time), [this, one] {
    const admission_changes changes = admission_.finished(one->id, events_.now());
    present_.erase(one->id);
    one->on_answer(verdict::ran, reported_load());
    apply(changes);
  });
}

void fake_target::refuse(std::uint64_t id) {
  const std::shared_ptr<attempt> one = present_.at(id);
  present_.erase(id);
  one->on_answer(verdict::not_run, reported_load());
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

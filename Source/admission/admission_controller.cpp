#include "admission/admission_controller.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocusdoor {

namespace {

// Callers that retry sooner than this only add load.
constexpr duration minimum_retry_after = std::chrono::milliseconds(50);

waiting_estimate order_key(const admission_request& request, std::uint64_t arrival) {
  return {.priority = request.priority, .deadline = request.deadline, .arrival = arrival};
}

double microseconds(duration span) {
  return static_cast<double>(span.count());
}

}  // namespace

admission_controller::admission_controller(admission_policy policy) : policy_(std::move(policy)) {
  policy_.slots = std::max(1, policy_.slots);
}

admission_decision admission_controller::offer(const admission_request& request, time_point now) {
  if (draining_) {
    return {admission_outcome::refused, refusal_reason::draining, minimum_retry_after, {}};
  }
  if (is_known(request.ticket)) {
    return {admission_outcome::refused, refusal_reason::duplicate_ticket, minimum_retry_after, {}};
  }
  enqueue(request);
  admission_decision decision{.outcome = admission_outcome::queued, .changes = update_queue(now)};
  auto& [started, refused] = decision.changes;
  const auto start = std::find(started.begin(), started.end(), request.ticket);
  if (start != started.end()) {
    started.erase(start);
    decision.outcome = admission_outcome::started;
    return decision;
  }
  const auto refusal = std::find_if(refused.begin(), refused.end(), [&](const auto& entry) {
    return entry.ticket == request.ticket;
  });
  if (refusal != refused.end()) {
    decision.outcome = admission_outcome::refused;
    decision.reason = refusal->reason;
    decision.retry_after = refusal->retry_after;
    refused.erase(refusal);
  }
  return decision;
}

admission_changes admission_controller::finished(admission_ticket ticket, time_point now,
                                                 verdict outcome) {
  const auto found = running_.find(ticket);
  if (found == running_.end()) {
    return {};
  }
  const measured_run& run = found->second.run;
  switch (outcome) {
    case verdict::ran:
      history_.completed(run, now);
      break;
    case verdict::not_run:
      history_.not_run(run);
      break;
    case verdict::may_have_run:
      history_.cut_off(run, now);
      break;
  }
  isolated_running_ -= found->second.isolated ? 1 : 0;
  running_.erase(found);
  return update_queue(now);
}

admission_changes admission_controller::tick(time_point now) {
  return update_queue(now);
}

cancel_result admission_controller::cancel(admission_ticket ticket, time_point now) {
  if (running_.contains(ticket)) {
    return {cancel_outcome::was_running, {}};
  }
  if (waiting_.erase(ticket) == 0) {
    return {};
  }
  std::erase_if(queue_, [&](const auto& waiting) { return waiting.request.ticket == ticket; });
  return {cancel_outcome::was_waiting, update_queue(now)};
}

load_report admission_controller::load() const {
  return {.slots = policy_.slots,
          .slots_in_use = static_cast<std::int32_t>(running_.size()),
          .queued = static_cast<std::int32_t>(queue_.size())};
}

void admission_controller::begin_drain(time_point /*now*/) {
  draining_ = true;
}

bool admission_controller::drained() const {
  return draining_ && running_.empty() && queue_.empty();
}

admission_changes admission_controller::set_slots(int slots, time_point now) {
  policy_.slots = std::max(1, slots);
  return update_queue(now);
}

bool admission_controller::is_long(const service_time_estimate& work_class) const {
  return policy_.reserve->is_long(history_.median(work_class), history_.median());
}

bool admission_controller::counts_as_long(const running_request& running, time_point now) const {
  return policy_.reserve->is_long(now - running.run.started_at, history_.median()) ||
         is_long(*running.run.work_class);
}

int admission_controller::long_running(time_point now) const {
  return static_cast<int>(std::count_if(running_.begin(), running_.end(), [&](const auto& entry) {
    return counts_as_long(entry.second, now);
  }));
}

// Short requests cannot rely on slots held by long requests, and long requests get no more than the
// slots for long ones. So the wait of each kind is estimated from its own slots and its own work.
admission_controller::slot_group admission_controller::slot_group_for(bool for_long,
                                                                      time_point now) const {
  slot_group result;
  const int held_by_long = long_running(now);
  const int slots =
      for_long ? policy_.reserve->slots_for_long(policy_.slots) : policy_.slots - held_by_long;
  result.slots = std::max(1, slots);
  int running_in_group = 0;
  for (const auto& [ticket, running] : running_) {
    if (counts_as_long(running, now) == for_long) {
      ++running_in_group;
      result.work_us += microseconds(history_.mean(*running.run.work_class)) / 2;
    }
  }
  result.has_free_slot = running_in_group < slots &&
                         running_.size() < static_cast<std::size_t>(policy_.slots) &&
                         isolated_running_ == 0;
  return result;
}

std::vector<waiting_estimate> admission_controller::waiting_estimates(time_point now) const {
  std::vector<waiting_estimate> result;
  result.reserve(queue_.size());
  slot_group slot_groups[2] = {slot_group_for(false, now), slot_group_for(true, now)};
  for (const auto& waiting : queue_) {
    slot_group& group = slot_groups[is_long(*waiting.work_class) ? 1 : 0];
    waiting_estimate estimate = order_key(waiting.request, waiting.arrival);
    const bool starts_now = group.has_free_slot && group.requests == 0 && !waiting.request.isolated;
    const auto wait = static_cast<duration::rep>(group.work_us / group.slots);
    estimate.expected_wait = starts_now ? duration(0) : duration(wait);
    estimate.expected_service = history_.median(*waiting.work_class);
    estimate.requests_ahead = group.requests;
    group.work_us += microseconds(history_.mean(*waiting.work_class));
    ++group.requests;
    result.push_back(estimate);
  }
  return result;
}

duration admission_controller::retry_after(time_point now) const {
  const slot_group group = slot_group_for(false, now);
  const double waiting = static_cast<double>(queue_.size()) * microseconds(history_.mean());
  const auto wait = static_cast<duration::rep>((group.work_us + waiting) / group.slots);
  return std::max(minimum_retry_after, duration(wait));
}

bool admission_controller::may_start(const waiting_request& waiting, time_point now) const {
  const auto slots = static_cast<std::size_t>(policy_.slots);
  if (isolated_running_ > 0 || running_.size() >= slots) {
    return false;
  }
  if (waiting.request.isolated) {
    return running_.empty();
  }
  return !is_long(*waiting.work_class) ||
         long_running(now) < policy_.reserve->slots_for_long(policy_.slots);
}

bool admission_controller::is_known(admission_ticket ticket) const {
  return running_.contains(ticket) || waiting_.contains(ticket);
}

void admission_controller::enqueue(const admission_request& request) {
  const std::uint64_t arrival = ++arrivals_;
  const waiting_estimate key = order_key(request, arrival);
  // Searched from the end of the queue, because most requests belong there.
  auto position = queue_.end();
  while (position != queue_.begin()) {
    const waiting_request& previous = *std::prev(position);
    if (!policy_.order->before(key, order_key(previous.request, previous.arrival))) {
      break;
    }
    --position;
  }
  queue_.insert(position, {request, arrival, history_.estimate_of(request.work_class)});
  waiting_.insert(request.ticket);
}

void admission_controller::start(const waiting_request& waiting, time_point now) {
  waiting_.erase(waiting.request.ticket);
  running_[waiting.request.ticket] = {history_.start(*waiting.work_class, now, waiting.probe),
                                      waiting.request.isolated};
  isolated_running_ += waiting.request.isolated ? 1 : 0;
}

/// Whether a request that the estimate of its work class rules out may start now to check it.
bool admission_controller::may_probe(const waiting_request& waiting, time_point now) const {
  const bool probe_waits = std::any_of(queue_.begin(), queue_.end(), [&](const auto& other) {
    return other.probe && other.work_class == waiting.work_class &&
           other.request.ticket != waiting.request.ticket;
  });
  return !probe_waits && now < waiting.request.deadline && may_start(waiting, now) &&
         waiting.work_class->admits_probe(now);
}

void admission_controller::refuse_infeasible(time_point now, admission_changes& changes) {
  if (queue_.empty() || policy_.feasibility->accepts_all()) {
    return;
  }
  const std::vector<waiting_estimate> estimates = waiting_estimates(now);
  std::size_t kept = 0;
  for (std::size_t i = 0; i < queue_.size(); ++i) {
    queue_[i].probe = false;
    const bool feasible = policy_.feasibility->feasible(estimates[i], now);
    queue_[i].probe = !feasible && may_probe(queue_[i], now);
    if (feasible || queue_[i].probe) {
      std::swap(queue_[kept++], queue_[i]);
      continue;
    }
    waiting_.erase(queue_[i].request.ticket);
    const bool expired = queue_[i].request.deadline <= now;
    changes.refused.push_back(
        {queue_[i].request.ticket,
         expired ? refusal_reason::expired : refusal_reason::deadline_unreachable,
         retry_after(now)});
  }
  queue_.resize(kept);
}

void admission_controller::refuse_excess(time_point now, admission_changes& changes) {
  while (queue_.size() > policy_.queue_limit) {
    const std::size_t victim = policy_.shedding->victim(waiting_estimates(now), now);
    changes.refused.push_back(
        {queue_[victim].request.ticket, refusal_reason::queue_full, retry_after(now)});
    waiting_.erase(queue_[victim].request.ticket);
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(victim));
  }
}

void admission_controller::start_waiting(time_point now, admission_changes& changes) {
  std::size_t next = 0;
  while (next < queue_.size() && running_.size() < static_cast<std::size_t>(policy_.slots)) {
    if (may_start(queue_[next], now)) {
      changes.started.push_back(queue_[next].request.ticket);
      start(queue_[next], now);
      queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(next));
    } else if (queue_[next].request.isolated) {
      // Later requests could keep the slots busy, so that the isolated one would never start.
      return;
    } else {
      ++next;
    }
  }
}

admission_changes admission_controller::update_queue(time_point now) {
  admission_changes changes;
  refuse_infeasible(now, changes);
  start_waiting(now, changes);
  refuse_excess(now, changes);
  return changes;
}

}  // namespace crocusdoor

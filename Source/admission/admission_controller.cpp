#include "admission/admission_controller.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocusdoor {

namespace {

// Callers that are told to come back sooner than this only add load.
constexpr duration least_retry_after = std::chrono::milliseconds(50);

waiting_outlook order_key(const admission_request& request, std::uint64_t arrival) {
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
    return {admission_outcome::refused, refusal_reason::draining, least_retry_after, {}};
  }
  if (known(request.ticket)) {
    return {admission_outcome::refused, refusal_reason::duplicate_ticket, least_retry_after, {}};
  }
  enqueue(request);
  admission_decision decision{.outcome = admission_outcome::queued, .changes = settle(now)};
  auto& [started, refused] = decision.changes;
  const auto start = std::find(started.begin(), started.end(), request.ticket);
  if (start != started.end()) {
    started.erase(start);
    decision.outcome = admission_outcome::started;
    return decision;
  }
  const auto refusal = std::find_if(refused.begin(), refused.end(),
                                    [&](const auto& one) { return one.ticket == request.ticket; });
  if (refusal != refused.end()) {
    decision.outcome = admission_outcome::refused;
    decision.reason = refusal->reason;
    decision.retry_after = refusal->retry_after;
    refused.erase(refusal);
  }
  return decision;
}

admission_changes admission_controller::finished(admission_ticket ticket, time_point now) {
  const auto found = running_.find(ticket);
  if (found == running_.end()) {
    return {};
  }
  history_.record(*found->second.work_class, now - found->second.started_at);
  isolated_running_ -= found->second.isolated ? 1 : 0;
  running_.erase(found);
  return settle(now);
}

admission_changes admission_controller::tick(time_point now) {
  return settle(now);
}

cancel_result admission_controller::cancel(admission_ticket ticket, time_point now) {
  if (running_.contains(ticket)) {
    return {cancel_outcome::was_running, {}};
  }
  if (waiting_.erase(ticket) == 0) {
    return {};
  }
  std::erase_if(queue_, [&](const auto& waiting) { return waiting.request.ticket == ticket; });
  return {cancel_outcome::was_waiting, settle(now)};
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
  return settle(now);
}

bool admission_controller::is_long(const service_time_estimate& work_class) const {
  return policy_.reserve->is_long(history_.typical(work_class), history_.typical());
}

bool admission_controller::counts_as_long(const running_request& running, time_point now) const {
  return policy_.reserve->is_long(now - running.started_at, history_.typical()) ||
         is_long(*running.work_class);
}

int admission_controller::long_running(time_point now) const {
  return static_cast<int>(std::count_if(running_.begin(), running_.end(), [&](const auto& one) {
    return counts_as_long(one.second, now);
  }));
}

// Short requests cannot count on slots held by long ones, and long requests only get theirs, so
// each kind is estimated with its own slots and its own work ahead.
admission_controller::lane admission_controller::open_lane(bool for_long, time_point now) const {
  lane result;
  const int held_by_long = long_running(now);
  const int slots =
      for_long ? policy_.reserve->slots_for_long(policy_.slots) : policy_.slots - held_by_long;
  result.slots = std::max(1, slots);
  int running_in_lane = 0;
  for (const auto& [ticket, running] : running_) {
    if (counts_as_long(running, now) == for_long) {
      ++running_in_lane;
      result.work_us += microseconds(history_.mean(*running.work_class)) / 2;
    }
  }
  result.has_free_slot = running_in_lane < slots &&
                         running_.size() < static_cast<std::size_t>(policy_.slots) &&
                         isolated_running_ == 0;
  return result;
}

std::vector<waiting_outlook> admission_controller::outlooks(time_point now) const {
  std::vector<waiting_outlook> result;
  result.reserve(queue_.size());
  lane lanes[2] = {open_lane(false, now), open_lane(true, now)};
  for (const auto& waiting : queue_) {
    lane& own = lanes[is_long(*waiting.work_class) ? 1 : 0];
    waiting_outlook outlook = order_key(waiting.request, waiting.arrival);
    const bool starts_now = own.has_free_slot && own.requests == 0 && !waiting.request.isolated;
    const auto wait = static_cast<duration::rep>(own.work_us / own.slots);
    outlook.expected_wait = starts_now ? duration(0) : duration(wait);
    outlook.expected_service = history_.typical(*waiting.work_class);
    outlook.requests_ahead = own.requests;
    own.work_us += microseconds(history_.mean(*waiting.work_class));
    ++own.requests;
    result.push_back(outlook);
  }
  return result;
}

duration admission_controller::retry_after(time_point now) const {
  const lane own = open_lane(false, now);
  const double waiting = static_cast<double>(queue_.size()) * microseconds(history_.mean());
  const auto wait = static_cast<duration::rep>((own.work_us + waiting) / own.slots);
  return std::max(least_retry_after, duration(wait));
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

bool admission_controller::known(admission_ticket ticket) const {
  return running_.contains(ticket) || waiting_.contains(ticket);
}

void admission_controller::enqueue(const admission_request& request) {
  const std::uint64_t arrival = ++arrivals_;
  const waiting_outlook key = order_key(request, arrival);
  // Searched from the back, where most requests belong.
  auto place = queue_.end();
  while (place != queue_.begin()) {
    const waiting_request& previous = *std::prev(place);
    if (!policy_.order->before(key, order_key(previous.request, previous.arrival))) {
      break;
    }
    --place;
  }
  queue_.insert(place, {request, arrival, history_.class_of(request.work_class)});
  waiting_.insert(request.ticket);
}

void admission_controller::start(const waiting_request& waiting, time_point now) {
  waiting_.erase(waiting.request.ticket);
  running_[waiting.request.ticket] = {waiting.work_class, now, waiting.request.isolated};
  isolated_running_ += waiting.request.isolated ? 1 : 0;
}

void admission_controller::refuse_infeasible(time_point now, admission_changes& changes) {
  if (queue_.empty() || policy_.feasibility->accepts_all()) {
    return;
  }
  const std::vector<waiting_outlook> expected = outlooks(now);
  std::size_t kept = 0;
  for (std::size_t i = 0; i < queue_.size(); ++i) {
    if (policy_.feasibility->feasible(expected[i], now)) {
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
    const std::size_t victim = policy_.shedding->victim(outlooks(now), now);
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
      return;  // Later requests would keep the slots busy for ever.
    } else {
      ++next;
    }
  }
}

admission_changes admission_controller::settle(time_point now) {
  admission_changes changes;
  refuse_infeasible(now, changes);
  start_waiting(now, changes);
  refuse_excess(now, changes);
  return changes;
}

}  // namespace crocusdoor

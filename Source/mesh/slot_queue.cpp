#include "mesh/slot_queue.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// Service time assumed before the first request has finished.
constexpr duration unknown_service_time = std::chrono::milliseconds(100);
constexpr duration shortest_retry_after = std::chrono::milliseconds(50);

}  // namespace

duration slot_queue::typical_time(const std::string& work_class) {
  const duration known = history_.typical(*history_.class_of(work_class));
  return known > duration::zero() ? known : unknown_service_time;
}

/// Time until a slot is free for a request at this place: the work ahead of it, shared by the
/// slots.
duration slot_queue::expected_wait(const place& where) {
  duration ahead{0};
  std::int64_t count = 0;
  for (const auto& [position, request] : waiting_) {
    if (position > where) {
      break;
    }
    ahead += history_.mean(*history_.class_of(request.work_class));
    ++count;
  }
  const auto free = static_cast<std::int64_t>(slots_) - static_cast<std::int64_t>(running_.size());
  if (free > count) {
    return duration::zero();
  }
  const duration mean = std::max(history_.mean(), duration(1));
  return (ahead + mean) / std::max(slots_, 1);
}

duration slot_queue::drain_time() {
  const auto waiting = static_cast<duration::rep>(waiting_.size() + 1);
  return std::max(history_.mean() * waiting / std::max(slots_, 1), shortest_retry_after);
}

slot_changes slot_queue::offer(const slot_request& request, time_point now) {
  slot_changes changes;
  const place where{!request.nested, request.rank, ++arrivals_};
  const duration service = typical_time(request.work_class);
  const time_point answered = now + expected_wait(where) + service;
  const bool has_free_slot = running_.size() < static_cast<std::size_t>(std::max(slots_, 0));
  if (answered > request.deadline) {
    changes.refused.push_back({request.ticket, slot_refusal::too_late, drain_time()});
    return changes;
  }
  if (answered > request.objective && !has_free_slot) {
    changes.refused.push_back({request.ticket, slot_refusal::full, drain_time()});
    return changes;
  }
  waiting_.emplace(where, request);
  start_waiting(now, changes);
  refuse_late(now, changes);
  return changes;
}

void slot_queue::start(const slot_request& request, time_point now, slot_changes& changes) {
  running_[request.ticket] = {request.work_class, now};
  changes.started.push_back(request.ticket);
}

void slot_queue::start_waiting(time_point now, slot_changes& changes) {
  while (!waiting_.empty() && running_.size() < static_cast<std::size_t>(std::max(slots_, 0))) {
    const auto first = waiting_.begin();
    const slot_request next = first->second;
    waiting_.erase(first);
    start(next, now, changes);
  }
}

/// A request that arrived later may have gone ahead of one that waits.
void slot_queue::refuse_late(time_point now, slot_changes& changes) {
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    const slot_request& request = entry->second;
    if (now + typical_time(request.work_class) > request.deadline) {
      changes.refused.push_back({request.ticket, slot_refusal::too_late, drain_time()});
      entry = waiting_.erase(entry);
    } else {
      ++entry;
    }
  }
}

slot_changes slot_queue::finished(std::uint64_t ticket, time_point now) {
  slot_changes changes;
  const auto found = running_.find(ticket);
  if (found != running_.end()) {
    history_.record(*history_.class_of(found->second.work_class), now - found->second.started_at);
    running_.erase(found);
  }
  refuse_late(now, changes);
  start_waiting(now, changes);
  return changes;
}

bool slot_queue::withdraw(std::uint64_t ticket) {
  return std::erase_if(waiting_, [&](const auto& entry) { return entry.second.ticket == ticket; }) >
         0;
}

slot_changes slot_queue::expire(time_point now) {
  slot_changes changes;
  refuse_late(now, changes);
  return changes;
}

slot_changes slot_queue::refuse_all(time_point) {
  slot_changes changes;
  for (const auto& [position, request] : waiting_) {
    changes.refused.push_back({request.ticket, slot_refusal::closed, shortest_retry_after});
  }
  waiting_.clear();
  return changes;
}

slot_changes slot_queue::set_slots(std::int32_t slots, time_point now) {
  slot_changes changes;
  slots_ = slots;
  start_waiting(now, changes);
  return changes;
}

load_report slot_queue::load() const {
  load_report report;
  report.slots = slots_;
  report.slots_in_use = static_cast<std::int32_t>(running_.size());
  report.queued = static_cast<std::int32_t>(waiting_.size());
  report.service_time_us = history_.mean().count();
  return report;
}

}  // namespace crocusdoor

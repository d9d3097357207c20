#include "mesh/slot_queue.h"

#include <algorithm>
#include <array>
#include <limits>

namespace crocusdoor {

namespace {

/// Service time assumed before the first request has finished.
constexpr duration default_service_time = std::chrono::milliseconds(100);
/// Service times vary: about nine of ten requests take no longer than this multiple of the median.
constexpr double service_time_margin = 2;
constexpr duration minimum_retry_after = std::chrono::milliseconds(50);
/// Number of ranks whose expected wait is reported; less urgent ranks share the last value.
constexpr std::int32_t reported_ranks = 4;

}  // namespace

duration slot_queue::median_service_time(const service_time_estimate& work_class) const {
  const duration known_median = history_.median(work_class);
  return known_median > duration::zero() ? known_median : default_service_time;
}

bool slot_queue::has_free_slot() const {
  return static_cast<std::int32_t>(running_.size()) < slots_;
}

bool slot_queue::is_short(const service_time_estimate& work_class) const {
  return work_class.samples() > 0 && work_class.mean() < history_.mean();
}

/// Expected time until a slot is free for a request at this position: the work ahead of it, divided
/// by the number of slots.
duration slot_queue::expected_wait(const queue_position& position) const {
  if (has_free_slot()) {
    return duration::zero();
  }
  // On average, the next running request ends after the mean service time divided by the number of
  // slots.
  duration ahead = std::max(history_.mean(), duration(1));
  for (const auto& [other, waiting] : waiting_) {
    if (other > position) {
      break;
    }
    ahead += history_.mean(*waiting.work_class);
  }
  return ahead / std::max(slots_, 1);
}

/// Estimated time after which a refused request could be answered in time.
duration slot_queue::retry_after(duration overrun) const {
  return std::max(overrun, minimum_retry_after);
}

void slot_queue::refuse(const slot_request& request, slot_refusal reason, duration overrun,
                        slot_changes& changes) {
  changes.refused.push_back({request.ticket, reason, retry_after(overrun)});
}

slot_changes slot_queue::offer(const slot_request& request, time_point now) {
  slot_changes changes;
  service_time_estimate* work_class = history_.estimate_of(request.work_class);
  has_workspaces_ = has_workspaces_ || !request.workspace.str().empty();
  const fair_shares::ranks ranks = ranks_of(request);
  const std::int64_t turn = has_workspaces_ ? shares_.turn(ranks, request.workspace) : 0;
  const queue_position position{request.workspace_rank, request.rank, turn, request.objective,
                                ++arrivals_};
  const time_point response_at = now + expected_wait(position) + median_service_time(*work_class);
  if (response_at > request.deadline) {
    if (may_probe(request, *work_class, now)) {
      start(request, *work_class, true, now, changes);
    } else {
      refuse(request, slot_refusal::deadline_unreachable, response_at - request.deadline, changes);
    }
    return changes;
  }
  const time_point p90_response_at =
      response_at + std::chrono::duration_cast<duration>(median_service_time(*work_class) *
                                                         (service_time_margin - 1));
  if (p90_response_at > request.objective && !has_free_slot() && !is_short(*work_class)) {
    refuse(request, slot_refusal::queue_full, p90_response_at - request.objective, changes);
    return changes;
  }
  waiting_.emplace(position, waiting_request{request, work_class});
  if (has_workspaces_) {
    shares_.add(ranks, request.workspace);
  }
  start_waiting(now, changes);
  refuse_late(now, changes);
  return changes;
}

bool slot_queue::may_probe(const slot_request& request, const service_time_estimate& work_class,
                           time_point now) const {
  return has_free_slot() && now < request.deadline && work_class.admits_probe(now);
}

void slot_queue::start(const slot_request& request, service_time_estimate& work_class, bool probe,
                       time_point now, slot_changes& changes) {
  running_[request.ticket] = history_.start(work_class, now, probe);
  changes.started.push_back(request.ticket);
}

void slot_queue::start_waiting(time_point now, slot_changes& changes) {
  while (!waiting_.empty() && has_free_slot()) {
    const auto first = waiting_.begin();
    start(first->second.request, *first->second.work_class, false, now, changes);
    shares_.started(ranks_of(first->second.request), first->first.turn);
    waiting_.erase(first);
  }
}

/// Needed because a request that arrived later may have been placed ahead of one that waits.
void slot_queue::refuse_late(time_point now, slot_changes& changes) {
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    const waiting_request& waiting = entry->second;
    const time_point response_at = now + median_service_time(*waiting.work_class);
    if (response_at > waiting.request.deadline) {
      refuse(waiting.request, slot_refusal::deadline_unreachable,
             response_at - waiting.request.deadline, changes);
      entry = remove(entry);
    } else {
      ++entry;
    }
  }
}

slot_changes slot_queue::finished(std::uint64_t ticket, time_point now) {
  if (const auto run = running_.extract(ticket)) {
    history_.completed(run.mapped(), now);
  }
  return slot_freed(now);
}

slot_changes slot_queue::cut_off(std::uint64_t ticket, time_point now) {
  if (const auto run = running_.extract(ticket)) {
    history_.cut_off(run.mapped(), now);
  }
  return slot_freed(now);
}

slot_changes slot_queue::release(std::uint64_t ticket, time_point now) {
  if (const auto run = running_.extract(ticket)) {
    history_.not_run(run.mapped());
  }
  return slot_freed(now);
}

slot_changes slot_queue::slot_freed(time_point now) {
  slot_changes changes;
  refuse_late(now, changes);
  start_waiting(now, changes);
  return changes;
}

std::map<slot_queue::queue_position, slot_queue::waiting_request>::iterator slot_queue::remove(
    std::map<queue_position, waiting_request>::iterator entry) {
  const slot_request& request = entry->second.request;
  shares_.removed(ranks_of(request), request.workspace);
  return waiting_.erase(entry);
}

bool slot_queue::withdraw(std::uint64_t ticket) {
  const auto found = std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& entry) {
    return entry.second.request.ticket == ticket;
  });
  if (found == waiting_.end()) {
    return false;
  }
  remove(found);
  return true;
}

slot_changes slot_queue::expire(time_point now) {
  slot_changes changes;
  refuse_late(now, changes);
  return changes;
}

slot_changes slot_queue::refuse_all() {
  slot_changes changes;
  for (const auto& [position, waiting] : waiting_) {
    refuse(waiting.request, slot_refusal::target_leaving, duration::zero(), changes);
  }
  waiting_.clear();
  shares_.clear();
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
  if (!has_free_slot()) {
    // For the most urgent workspaces that wait; the sender does not know the turns of others.
    const std::int32_t workspace_rank =
        waiting_.empty() ? 0 : waiting_.begin()->first.workspace_rank;
    for (std::int32_t rank = 0; rank < reported_ranks; ++rank) {
      const duration wait =
          expected_wait({workspace_rank, rank, std::numeric_limits<std::int64_t>::max(),
                         time_point::max(), arrivals_});
      report.wait_ms.push_back(static_cast<std::int32_t>(to_ms(wait)));
    }
  }
  return report;
}

}  // namespace crocusdoor

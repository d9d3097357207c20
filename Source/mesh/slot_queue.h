#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "admission/fair_shares.h"
#include "admission/service_time_history.h"
#include "core/enum_names.h"
#include "core/time.h"
#include "routing/load_report.h"

namespace crocusdoor {

/// A request that asks for a slot of the target.
struct slot_request {
  std::uint64_t ticket = 0;
  std::int32_t rank = 0;            ///< Of its route; 0 is the most urgent.
  std::string work_class;           ///< Requests that take similar time, for example a route name.
  time_point deadline;              ///< A later response is useless to the caller.
  time_point objective;             ///< A later response is worth less to the caller.
  workspace_name workspace{};       ///< Of the caller; empty if it has none.
  std::int32_t workspace_rank = 0;  ///< Counts before `rank`; 0 is the most urgent.
};

enum class slot_refusal {
  none,
  queue_full,            ///< No slot is free and the response would come after the objective.
  deadline_unreachable,  ///< The response would come after the deadline.
  target_leaving,        ///< The target is leaving.
};

template <>
struct enum_names<slot_refusal> {
  static constexpr auto names = make_enum_names<slot_refusal>({
      {slot_refusal::none, "none"},
      {slot_refusal::queue_full, "queue_full"},
      {slot_refusal::deadline_unreachable, "deadline_unreachable"},
      {slot_refusal::target_leaving, "target_leaving"},
  });
};

struct refused_slot {
  std::uint64_t ticket = 0;
  slot_refusal reason = slot_refusal::none;
  duration retry_after{0};  ///< Estimated time until the request could be answered in time.
};

/// Tickets of the requests that are started or refused as the result of an event.
struct slot_changes {
  std::vector<std::uint64_t> started;
  std::vector<refused_slot> refused;
};

/// Decides at the daemon beside a target which requests run, wait or are refused.
///
/// Designed for overload: more requests than slots, for seconds. Requests wait in the order of
/// their rank and, within a rank, of their turn (see `fair_shares`) if there are workspaces, and
/// then of their latency objective: calls that a running request makes have the short objectives,
/// and a late response to one wastes the work already done for its caller. A request that could not
/// be answered within its objective is refused on arrival, so that its caller can try another
/// upstream while there is time, and so that it does not delay the requests that can be answered. A
/// short request delays the others little and may wait until its deadline.
///
/// While a slot is free, a request that only a doubtful estimate rules out runs as a probe, one at
/// a time for each work class. Otherwise the estimate would refuse the requests that could correct
/// it.
class slot_queue {
 public:
  /// Starts, queues or refuses a request. Less urgent waiting requests that can no longer be
  /// answered by their deadline because of it are refused.
  [[nodiscard]] slot_changes offer(const slot_request& request, time_point now);
  /// Frees the slot of a request that has run and got the target's response.
  [[nodiscard]] slot_changes finished(std::uint64_t ticket, time_point now);
  /// Frees the slot of a request that was cancelled or ended without a response. Its service time
  /// is at least the time that it has run.
  [[nodiscard]] slot_changes cut_off(std::uint64_t ticket, time_point now);
  /// Frees the slot of a started request that has not run; its service time is not recorded.
  [[nodiscard]] slot_changes release(std::uint64_t ticket, time_point now);
  /// Removes a request from the queue; false if it is not waiting.
  bool withdraw(std::uint64_t ticket);
  /// Refuses the waiting requests that can no longer be answered by their deadline.
  [[nodiscard]] slot_changes expire(time_point now);
  /// Refuses all waiting requests.
  [[nodiscard]] slot_changes refuse_all();
  [[nodiscard]] slot_changes set_slots(std::int32_t slots, time_point now);

  [[nodiscard]] load_report load() const;
  [[nodiscard]] std::size_t slots_in_use() const noexcept { return running_.size(); }
  [[nodiscard]] std::size_t queued() const noexcept { return waiting_.size(); }

 private:
  /// Position in the queue; the lowest one starts first.
  struct queue_position {
    std::int32_t workspace_rank = 0;
    std::int32_t rank = 0;
    std::int64_t turn = 0;  ///< Of the workspace; 0 while there are no workspaces.
    time_point objective;
    std::uint64_t arrival = 0;
    friend auto operator<=>(const queue_position&, const queue_position&) = default;
  };
  struct waiting_request {
    slot_request request;
    service_time_estimate* work_class = nullptr;
  };

  [[nodiscard]] static fair_shares::ranks ranks_of(const slot_request& request) {
    return {request.workspace_rank, request.rank};
  }
  /// Removes a waiting request that is not started.
  std::map<queue_position, waiting_request>::iterator remove(
      std::map<queue_position, waiting_request>::iterator entry);
  [[nodiscard]] duration median_service_time(const service_time_estimate& work_class) const;
  [[nodiscard]] duration expected_wait(const queue_position& position) const;
  [[nodiscard]] bool has_free_slot() const;
  [[nodiscard]] bool is_short(const service_time_estimate& work_class) const;
  [[nodiscard]] duration retry_after(duration overrun) const;
  [[nodiscard]] bool may_probe(const slot_request& request, const service_time_estimate& work_class,
                               time_point now) const;
  void start(const slot_request& request, service_time_estimate& work_class, bool probe,
             time_point now, slot_changes& changes);
  void refuse(const slot_request& request, slot_refusal reason, duration overrun,
              slot_changes& changes);
  void start_waiting(time_point now, slot_changes& changes);
  void refuse_late(time_point now, slot_changes& changes);
  /// Starts or refuses waiting requests after a slot has been freed.
  [[nodiscard]] slot_changes slot_freed(time_point now);

  std::int32_t slots_ = 1;
  std::uint64_t arrivals_ = 0;
  std::map<queue_position, waiting_request> waiting_;
  fair_shares shares_;
  bool has_workspaces_ = false;  ///< Whether a request with a workspace has arrived.
  std::map<std::uint64_t, measured_run> running_;
  service_time_history history_;
};

}  // namespace crocusdoor

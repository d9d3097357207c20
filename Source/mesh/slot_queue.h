#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "admission/service_time_history.h"
#include "core/enum_names.h"
#include "core/time.h"
#include "routing/load_report.h"

namespace crocusdoor {

/// A request that asks for a slot of the target.
struct slot_request {
  std::uint64_t ticket = 0;
  std::int32_t rank = 0;   ///< Of its route; 0 is the most urgent.
  std::string work_class;  ///< Requests that take similar time, for example a route name.
  time_point deadline;     ///< When its answer is of no use any more.
  time_point objective;    ///< Until when its answer is worth most.
};

enum class slot_refusal {
  none,
  full,      ///< The answer would come after the latency objective.
  too_late,  ///< The answer would come after the deadline.
  closed,    ///< The target leaves.
};

template <>
struct enum_names<slot_refusal> {
  static constexpr auto names = make_enum_names<slot_refusal>({
      {slot_refusal::none, "none"},
      {slot_refusal::full, "queue_full"},
      {slot_refusal::too_late, "deadline_unreachable"},
      {slot_refusal::closed, "target_leaving"},
  });
};

struct refused_slot {
  std::uint64_t ticket = 0;
  slot_refusal reason = slot_refusal::none;
  duration retry_after{0};  ///< Until there is room, as far as is known now.
};

/// Requests that get their slot or lose their place as the result of an event.
struct slot_changes {
  std::vector<std::uint64_t> started;
  std::vector<refused_slot> refused;
};

/// Decides at the daemon beside a target which requests run, wait or are refused.
///
/// Load that it answers: more requests than slots for seconds. Requests wait by rank, and within a
/// rank by the time until which their answer is worth most: calls that a running request makes have
/// the short objectives, and a late one wastes the work already done for its caller. A request that
/// could not be answered within its objective is refused on arrival, so that its caller can go
/// elsewhere while there is time, and does not hold up those that can. A short request costs the
/// others little and may wait until its deadline.
class slot_queue {
 public:
  /// Starts, queues or refuses a request; it may also displace waiting ones of less urgency.
  [[nodiscard]] slot_changes offer(const slot_request& request, time_point now);
  /// Frees the slot of a request that has run.
  [[nodiscard]] slot_changes finished(std::uint64_t ticket, time_point now);
  /// Frees the slot of a request that has not run after all.
  [[nodiscard]] slot_changes release(std::uint64_t ticket, time_point now);
  /// Removes a waiting request; false if it does not wait.
  bool withdraw(std::uint64_t ticket);
  /// Refuses the waiting requests that can no longer be answered in time.
  [[nodiscard]] slot_changes expire(time_point now);
  /// Refuses all waiting requests.
  [[nodiscard]] slot_changes refuse_all();
  [[nodiscard]] slot_changes set_slots(std::int32_t slots, time_point now);

  [[nodiscard]] load_report load() const;
  [[nodiscard]] std::size_t slots_in_use() const noexcept { return running_.size(); }
  [[nodiscard]] std::size_t queued() const noexcept { return waiting_.size(); }

 private:
  /// Order of waiting.
  struct place {
    std::int32_t rank = 0;
    time_point objective;
    std::uint64_t arrival = 0;
    friend auto operator<=>(const place&, const place&) = default;
  };
  struct waiting_request {
    slot_request request;
    service_time_estimate* work_class = nullptr;
  };
  struct running_request {
    service_time_estimate* work_class = nullptr;
    time_point started_at;
  };

  [[nodiscard]] duration typical_time(const service_time_estimate& work_class) const;
  [[nodiscard]] duration expected_wait(const place& where) const;
  [[nodiscard]] bool has_free_slot() const;
  [[nodiscard]] bool is_short(const service_time_estimate& work_class) const;
  [[nodiscard]] duration retry_after(duration overrun) const;
  void start(const waiting_request& one, time_point now, slot_changes& changes);
  void refuse(const slot_request& request, slot_refusal reason, duration overrun,
              slot_changes& changes);
  void start_waiting(time_point now, slot_changes& changes);
  void refuse_late(time_point now, slot_changes& changes);

  std::int32_t slots_ = 1;
  std::uint64_t arrivals_ = 0;
  std::map<place, waiting_request> waiting_;
  std::map<std::uint64_t, running_request> running_;
  service_time_history history_;
};

}  // namespace crocusdoor

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "admission/admission_policy.h"
#include "admission/admission_request.h"
#include "admission/service_time_history.h"
#include "core/time.h"
#include "core/verdict.h"
#include "routing/load_report.h"

namespace crocusdoor {

/// Decides at the daemon beside a target which requests run, wait or are refused.
///
/// Use: `offer` each arriving request. Send a started request to the target and call `finished`
/// when the target has responded or its connection is lost. Call `tick` every 10 to 50 ms while
/// requests wait. Every call that returns `admission_changes` may start or refuse waiting requests;
/// a refused request has not run and never will, so it is answered as `verdict::not_run`.
class admission_controller {
 public:
  explicit admission_controller(admission_policy policy);

  /// Decides on a request. The result may also refuse other requests, if the queue was full and one
  /// of them was less likely to finish in time than the new one.
  [[nodiscard]] admission_decision offer(const admission_request& request, time_point now);

  /// Frees the slot of a running request and starts waiting requests. Ignores unknown tickets.
  /// `outcome`: only a request that ran to its response is a sample of the service time; one that
  /// may have run has taken at least the time since its start.
  [[nodiscard]] admission_changes finished(admission_ticket ticket, time_point now,
                                           verdict outcome = verdict::ran);

  /// Refuses waiting requests that can no longer finish in time.
  [[nodiscard]] admission_changes tick(time_point now);

  /// Withdraws a request. A running one keeps its slot until `finished`, because the target may
  /// still be working on it.
  [[nodiscard]] cancel_result cancel(admission_ticket ticket, time_point now);

  /// Exact use of the target's slots, sent with every response.
  [[nodiscard]] load_report load() const;

  /// Refuses all further requests. Requests that are waiting already still run, because their
  /// callers would otherwise all retry at the same moment.
  void begin_drain(time_point now);

  /// Whether a drain has begun and no request runs or waits.
  [[nodiscard]] bool drained() const;

  /// Changes the number of slots (at least 1). Running requests are not interrupted when it falls.
  [[nodiscard]] admission_changes set_slots(int slots, time_point now);

 private:
  struct waiting_request {
    admission_request request;
    std::uint64_t arrival = 0;
    service_time_estimate* work_class = nullptr;
    bool probe = false;  ///< Only a doubtful estimate rules it out.
  };
  struct running_request {
    measured_run run;
    bool isolated = false;
  };
  /// Slots available to one kind of request (short or long), and the work ahead on them.
  struct slot_group {
    double slots = 1;
    double work_us = 0;  ///< Expected remaining work of running and waiting requests.
    std::size_t requests = 0;
    bool has_free_slot = false;
  };

  [[nodiscard]] bool is_long(const service_time_estimate& work_class) const;
  [[nodiscard]] bool counts_as_long(const running_request& running, time_point now) const;
  [[nodiscard]] int long_running(time_point now) const;
  [[nodiscard]] slot_group slot_group_for(bool for_long, time_point now) const;
  [[nodiscard]] std::vector<waiting_estimate> waiting_estimates(time_point now) const;
  [[nodiscard]] duration retry_after(time_point now) const;
  [[nodiscard]] bool may_start(const waiting_request& waiting, time_point now) const;
  [[nodiscard]] bool is_known(admission_ticket ticket) const;

  [[nodiscard]] bool may_probe(const waiting_request& waiting, time_point now) const;

  void enqueue(const admission_request& request);
  void start(const waiting_request& waiting, time_point now);
  void refuse_infeasible(time_point now, admission_changes& changes);
  void refuse_excess(time_point now, admission_changes& changes);
  void start_waiting(time_point now, admission_changes& changes);
  [[nodiscard]] admission_changes update_queue(time_point now);

  admission_policy policy_;
  service_time_history history_;
  std::deque<waiting_request> queue_;             // in starting order
  std::unordered_set<admission_ticket> waiting_;  // tickets in the queue
  std::unordered_map<admission_ticket, running_request> running_;
  std::uint64_t arrivals_ = 0;
  int isolated_running_ = 0;
  bool draining_ = false;
};

}  // namespace crocusdoor

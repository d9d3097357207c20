#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/digest.h"
#include "core/time.h"
#include "suspicion/crash_report.h"

namespace crocusdoor {

/// Limits on the size, age and clock skew of crash suspicions.
struct crash_suspicion_limits {
  std::chrono::milliseconds age = std::chrono::minutes(10);  ///< Older reports do not count.
  /// Reports dated further in the future are refused: a clearing from a clock that is far ahead
  /// would hide later crashes.
  std::chrono::milliseconds clock_skew = std::chrono::seconds(30);
  /// Maximum number of requests; those with the oldest reports are dropped first.
  std::size_t requests = 10'000;
};

/// What a target's daemon does with a request.
enum class crash_decision {
  allow,
  isolate,  ///< One crash: run it only while no other request runs.
  refuse,   ///< Two crashes or more: answer "not run".
};

/// One suspected request as operators see it.
struct suspected_request {
  digest request;
  std::vector<crash_report> crashes;  ///< Distinct crashes that count, in order of time.
};

/// Requests that were in flight when targets crashed, merged from all daemons. The result does not
/// depend on the order of the reports or on repeats.
///
/// Once reports travel faster than resends, a request crashes at most two targets and those that
/// run it at the time of the first crash. Return the reports with the failed call and send them
/// with each resend (a `suspicions` message before the `call` on the same link), so that a resend
/// through the same daemons cannot overtake them. To gossip a report, send it to the control
/// neighbours except the one it came from; `merge` returns true only once for each report, so the
/// flooding ends.
class crash_suspicions {
 public:
  explicit crash_suspicions(crash_suspicion_limits limits = {}) : limits_(limits) {}

  /// A target was lost with these requests in flight. `crash_id` distinguishes the crashes of the
  /// instance. Returns the reports to gossip and to attach to the failed calls.
  std::vector<crash_report> crashed(const std::vector<digest>& in_flight,
                                    const instance_name& instance, std::uint64_t crash_id,
                                    wall_time now);

  /// Merges a report. Returns whether it was new and must be gossiped further.
  bool merge(const crash_report& report, wall_time now);

  [[nodiscard]] crash_decision decision(const digest& request, wall_time now) const;

  /// Call when an isolated request begins to run; pass the result to `completed_in_isolation`. The
  /// result covers the crashes known now, also those dated by a clock that is ahead, and no later
  /// crashes.
  [[nodiscard]] wall_time begin_isolation(const digest& request, wall_time now) const;

  /// The request completed alone on a target, so it did not cause the crashes up to `began_at`. A
  /// crash on another target in the meantime still counts. Returns the report to gossip; empty if
  /// there was no crash to clear.
  std::vector<crash_report> completed_in_isolation(const digest& request, wall_time began_at);

  /// Suspected requests, in order of digest.
  [[nodiscard]] std::vector<suspected_request> list(wall_time now) const;

  /// An operator clears a request. Returns the report to gossip, which names the operator as its
  /// instance; empty if the request is not suspected.
  std::vector<crash_report> clear(const digest& request, const std::string& operator_name,
                                  wall_time now);

  /// Drops the requests whose reports are all older than the age limit. Call about once a second.
  void expire(wall_time now);

  /// All current reports, to be sent to a daemon that has just joined.
  [[nodiscard]] std::vector<crash_report> all() const;

  [[nodiscard]] std::size_t size() const noexcept { return requests_.size(); }
  [[nodiscard]] std::uint64_t refused_reports() const noexcept { return refused_reports_; }

 private:
  /// Instance and crash id: one crash counts once, however often it is reported.
  using crash_identity = std::pair<instance_name, std::uint64_t>;
  struct request_history {
    /// Times of the crashes since the last clearing.
    std::map<crash_identity, std::int64_t> crashes;
    /// `cleared` is false if there was none.
    crash_report clearing;
  };

  bool apply(const crash_report& report);
  [[nodiscard]] std::int64_t oldest_counted(wall_time now) const;
  [[nodiscard]] static std::int64_t latest_crash_of(const request_history& history);
  static bool add_crash(request_history& history, const crash_report& report);
  static bool add_clearing(request_history& history, const crash_report& report);
  void drop_oldest();

  crash_suspicion_limits limits_;
  std::map<digest, request_history> requests_;
  std::uint64_t refused_reports_ = 0;
};

}  // namespace crocusdoor

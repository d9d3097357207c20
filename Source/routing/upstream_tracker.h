#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/time.h"
#include "core/verdict.h"
#include "routing/load_report.h"

namespace crocusdoor {

/// What one caller observes of one upstream: latency, its own requests in flight, reported load.
///
/// The caller's own observations are current and cannot be false. Reports can be late or false, so
/// their influence falls with their age, and they never lower the estimate below the caller's own
/// requests.
class upstream_tracker {
 public:
  void request_sent(time_point now);
  void request_ended(time_point now, duration latency, verdict outcome,
                     const std::optional<load_report>& report);
  /// Counts a refused connection; the upstream is avoided for 0.5 s, doubled by each further
  /// failure up to 8 s.
  void connection_failed(time_point now);

  /// Estimated latency, at least the age of requests that are overdue; zero before any response.
  [[nodiscard]] duration latency(time_point now) const;
  /// Latency over the last several hundred responses; the reference for detecting a slow period.
  [[nodiscard]] duration usual_latency() const;
  /// Latency of the latest response that the target gave.
  [[nodiscard]] std::optional<duration> latest_latency() const noexcept { return latest_latency_; }
  /// Holds `usual_latency` from now on, because the upstream is known to be slow.
  void freeze_usual_latency() noexcept { usual_frozen_ = true; }
  /// Resets the latency estimate to the latency of a fast response after a slow period.
  void recover(duration latency);
  [[nodiscard]] std::size_t responses() const noexcept { return responses_; }

  /// Whether the target has answered a request that was sent after this one, so that the request
  /// itself takes long and not the target.
  [[nodiscard]] bool overtaken(time_point sent_at) const;
  /// Requests of this caller without a response.
  [[nodiscard]] std::size_t in_flight() const noexcept { return in_flight_.size(); }
  /// Requests of other callers at the target according to the latest report; 0 without a report.
  [[nodiscard]] double others_load() const noexcept { return others_load_; }
  /// Weight of the latest report from 1 (just received) towards 0 (old or never received).
  [[nodiscard]] double report_weight(time_point now) const;
  /// Requests that run or wait at the target; `others_expected` replaces an old report.
  [[nodiscard]] double estimated_load(time_point now, double others_expected) const;

  [[nodiscard]] bool unreachable(time_point now) const { return now < avoided_until_; }
  /// End of the latest time in which the upstream was avoided after failed connections.
  [[nodiscard]] std::optional<time_point> reachable_since() const;

 private:
  struct sent_request {
    time_point sent_at;
    bool overtaken = false;  ///< A later request has been answered by the target.
  };

  void remove_in_flight(time_point sent_at, bool answered_by_target);
  void record_latency(duration latency);

  std::vector<sent_request> in_flight_;  // in order of sending
  double latency_us_ = 0;
  double usual_latency_us_ = 0;
  bool usual_frozen_ = false;
  std::optional<duration> latest_latency_;
  std::size_t responses_ = 0;
  double others_load_ = 0;
  std::optional<time_point> reported_at_;
  std::int32_t failures_ = 0;
  time_point avoided_until_;
};

}  // namespace crocusdoor

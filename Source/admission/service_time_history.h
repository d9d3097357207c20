#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "core/time.h"

namespace crocusdoor {

/// Measured service times of one kind of work.
///
/// Requests that were refused because of an estimate give no sample that could correct it. An
/// estimate that rests on few or old samples is therefore doubtful and may be checked by a probe: a
/// request that runs although the estimate rules it out.
class service_time_estimate {
 public:
  /// Adds the measured time between start and end of one request.
  void record(duration service_time, time_point now);
  /// Records that a request took at least this long: it was cut off or cancelled. It can only raise
  /// the estimate, and does not count as a sample.
  void record_lower_bound(duration service_time);

  /// Median, which a few long requests hardly change; zero before the first record.
  [[nodiscard]] duration median() const;
  /// Mean, which includes long requests; zero before the first record.
  [[nodiscard]] duration mean() const;
  [[nodiscard]] std::size_t samples() const noexcept { return samples_; }
  /// Whether enough requests were observed to prefer this estimate to one over all requests.
  [[nodiscard]] bool is_reliable() const noexcept;
  /// Whether the latest sample is old, or there is none.
  [[nodiscard]] bool is_old(time_point now) const;
  /// Whether a request that the estimate rules out may run to check the estimate.
  [[nodiscard]] bool admits_probe(time_point now) const;
  /// Admits no probe before this time.
  void defer_probes(time_point until) noexcept { next_probe_at_ = until; }

 private:
  double median_us_ = 0;
  double mean_us_ = 0;
  std::size_t samples_ = 0;
  std::size_t lower_bounds_ = 0;
  time_point last_sample_at_ = time_point::min();
  time_point next_probe_at_ = time_point::min();
};

/// A request that runs at the target.
struct measured_run {
  service_time_estimate* work_class = nullptr;
  time_point started_at;
  bool probe = false;
};

/// Service times per work class at one target. Holds at most 1,024 work classes; further ones share
/// the estimate over all requests, so that callers cannot grow the table without limit.
class service_time_history {
 public:
  /// Estimate of a work class; stays valid as long as the history.
  [[nodiscard]] service_time_estimate* estimate_of(const std::string& work_class);

  /// Begins a run. While a probe runs, its work class admits no other one.
  [[nodiscard]] measured_run start(service_time_estimate& work_class, time_point now, bool probe);
  /// Records the time of a run that has ended with a response. A probe that was faster than a
  /// doubtful estimate replaces it.
  void completed(const measured_run& run, time_point now);
  /// Records a run that ended without a response as a lower bound.
  void cut_off(const measured_run& run, time_point now);
  /// Ends a run that has not reached the target; nothing is recorded.
  void not_run(const measured_run& run);

  /// Adds a measured time to a class of this history and to the estimate over all requests.
  void record(service_time_estimate& work_class, duration service_time, time_point now);

  /// Expected median service time of a work class; that of all requests for a new class.
  [[nodiscard]] duration median(const service_time_estimate& work_class) const;
  /// Expected mean service time of a work class; that of all requests for a new class.
  [[nodiscard]] duration mean(const service_time_estimate& work_class) const;
  /// Mean of a work class; zero if no sample of it was recorded.
  [[nodiscard]] duration known_mean(const std::string& work_class) const;
  /// Median over all requests.
  [[nodiscard]] duration median() const { return overall_.median(); }
  /// Mean over all requests.
  [[nodiscard]] duration mean() const { return overall_.mean(); }

 private:
  [[nodiscard]] const service_time_estimate& reliable_estimate(
      const service_time_estimate& work_class) const;

  std::unordered_map<std::string, service_time_estimate> by_class_;
  service_time_estimate overall_;
};

}  // namespace crocusdoor

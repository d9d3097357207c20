#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "core/time.h"

namespace crocusdoor {

/// Measured service times of one kind of work.
class service_time_estimate {
 public:
  /// Adds the measured time between start and end of one request.
  void record(duration service_time);

  /// Median, which a few long requests hardly change; zero before the first sample.
  [[nodiscard]] duration median() const;
  /// Mean, which includes long requests; zero before the first sample.
  [[nodiscard]] duration mean() const;
  [[nodiscard]] std::size_t samples() const noexcept { return samples_; }

 private:
  double median_us_ = 0;
  double mean_us_ = 0;
  std::size_t samples_ = 0;
};

/// Service times per work class at one target. Holds at most 1,024 work classes; further ones share
/// the estimate over all requests, so that callers cannot grow the table without limit.
class service_time_history {
 public:
  /// Estimate of a work class; stays valid as long as the history.
  [[nodiscard]] service_time_estimate* estimate_of(const std::string& work_class);

  /// Adds a measured time to a class of this history and to the estimate over all requests.
  void record(service_time_estimate& work_class, duration service_time);

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

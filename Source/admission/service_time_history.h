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

  /// Median, which a few long requests do not move; zero before the first sample.
  [[nodiscard]] duration typical() const;
  /// Mean, which includes long requests; zero before the first sample.
  [[nodiscard]] duration mean() const;
  [[nodiscard]] std::size_t samples() const noexcept { return samples_; }

 private:
  double typical_us_ = 0;
  double mean_us_ = 0;
  std::size_t samples_ = 0;
};

/// Service times per work class at one target. Holds at most 1,024 work classes; further ones share
/// the estimate over all requests, so that callers cannot grow the table without limit.
class service_time_history {
 public:
  /// Estimate of a work class; stays valid as long as the history.
  [[nodiscard]] service_time_estimate* class_of(const std::string& work_class);

  /// Adds a measured time to a class of this history and to the estimate over all requests.
  void record(service_time_estimate& work_class, duration service_time);

  /// Expected median service time of a work class; that of all requests for a new class.
  [[nodiscard]] duration typical(const service_time_estimate& work_class) const;
  /// Expected mean service time of a work class; that of all requests for a new class.
  [[nodiscard]] duration mean(const service_time_estimate& work_class) const;
  /// Mean of a work class; zero if nothing is known of it.
  [[nodiscard]] duration known_mean(const std::string& work_class) const;
  /// Median over all requests.
  [[nodiscard]] duration typical() const { return overall_.typical(); }
  /// Mean over all requests.
  [[nodiscard]] duration mean() const { return overall_.mean(); }

 private:
  [[nodiscard]] const service_time_estimate& known(const service_time_estimate& work_class) const;

  std::unordered_map<std::string, service_time_estimate> by_class_;
  service_time_estimate overall_;
};

}  // namespace crocusdoor

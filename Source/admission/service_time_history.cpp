#include "admission/service_time_history.h"

#include <algorithm>
#include <cmath>

namespace crocusdoor {

namespace {

constexpr std::size_t work_class_limit = 1024;
// With fewer samples the estimate of a class is not reliable; the estimate over all requests is
// used instead.
constexpr std::size_t minimum_samples = 5;
// Averages over about 50 requests, so that the estimate follows a change of load within a few queue
// lengths.
constexpr double minimum_step = 0.02;

}  // namespace

void service_time_estimate::record(duration service_time) {
  const double sample = std::max(1.0, static_cast<double>(service_time.count()));
  ++samples_;
  const double step = std::max(minimum_step, 1.0 / static_cast<double>(samples_));
  mean_us_ += step * (sample - mean_us_);
  if (samples_ == 1) {
    median_us_ = sample;
    return;
  }
  // Moves the estimate up or down by a fixed ratio; it converges to the value that samples exceed
  // half of the time.
  median_us_ *= std::exp(sample > median_us_ ? step : -step);
}

duration service_time_estimate::median() const {
  return duration(static_cast<duration::rep>(median_us_));
}

duration service_time_estimate::mean() const {
  return duration(static_cast<duration::rep>(mean_us_));
}

service_time_estimate* service_time_history::estimate_of(const std::string& work_class) {
  const auto found = by_class_.find(work_class);
  if (found != by_class_.end()) {
    return &found->second;
  }
  return by_class_.size() < work_class_limit ? &by_class_[work_class] : &overall_;
}

void service_time_history::record(service_time_estimate& work_class, duration service_time) {
  overall_.record(service_time);
  if (&work_class != &overall_) {
    work_class.record(service_time);
  }
}

duration service_time_history::median(const service_time_estimate& work_class) const {
  return reliable_estimate(work_class).median();
}

duration service_time_history::mean(const service_time_estimate& work_class) const {
  return reliable_estimate(work_class).mean();
}

const service_time_estimate& service_time_history::reliable_estimate(
    const service_time_estimate& work_class) const {
  return work_class.samples() >= minimum_samples ? work_class : overall_;
}

duration service_time_history::known_mean(const std::string& work_class) const {
  const auto found = by_class_.find(work_class);
  return found == by_class_.end() ? duration::zero() : found->second.mean();
}

}  // namespace crocusdoor

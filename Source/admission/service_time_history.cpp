#include "admission/service_time_history.h"

#include <algorithm>
#include <cmath>

namespace crocusdoor {

namespace {

constexpr std::size_t work_class_limit = 1024;
// Fewer samples say too little about a class; the estimate over all requests is used instead.
constexpr std::size_t samples_needed = 5;
// Averages over about 50 requests, so that a change of load shows within a few queue lengths.
constexpr double smallest_step = 0.02;

}  // namespace

void service_time_estimate::record(duration service_time) {
  const double sample = std::max(1.0, static_cast<double>(service_time.count()));
  ++samples_;
  const double step = std::max(smallest_step, 1.0 / static_cast<double>(samples_));
  mean_us_ += step * (sample - mean_us_);
  if (samples_ == 1) {
    typical_us_ = sample;
    return;
  }
  // Moves the estimate up or down by a fixed ratio; it settles where both are equally frequent.
  typical_us_ *= std::exp(sample > typical_us_ ? step : -step);
}

duration service_time_estimate::typical() const {
  return duration(static_cast<duration::rep>(typical_us_));
}

duration service_time_estimate::mean() const {
  return duration(static_cast<duration::rep>(mean_us_));
}

service_time_estimate* service_time_history::class_of(const std::string& work_class) {
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

duration service_time_history::typical(const service_time_estimate& work_class) const {
  return known(work_class).typical();
}

duration service_time_history::mean(const service_time_estimate& work_class) const {
  return known(work_class).mean();
}

const service_time_estimate& service_time_history::known(
    const service_time_estimate& work_class) const {
  return work_class.samples() >= samples_needed ? work_class : overall_;
}

duration service_time_history::known_mean(const std::string& work_class) const {
  const auto found = by_class_.find(work_class);
  return found == by_class_.end() ? duration::zero() : found->second.mean();
}

}  // namespace crocusdoor

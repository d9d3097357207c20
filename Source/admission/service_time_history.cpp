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
// Without a sample for this long, an estimate may be wrong. Bounds the time for which a target that
// has recovered is refused requests.
constexpr duration sample_validity = std::chrono::seconds(1);
// Time after a probe without a response. Bounds the share of a slot that is used for probes of a
// class whose requests cannot finish in time.
constexpr duration probe_pause = std::chrono::milliseconds(250);

double microseconds(duration span) {
  return std::max(1.0, static_cast<double>(span.count()));
}

double step_of(std::size_t samples) {
  return std::max(minimum_step, 1.0 / static_cast<double>(samples));
}

}  // namespace

void service_time_estimate::record(duration service_time, time_point now) {
  const double sample = microseconds(service_time);
  last_sample_at_ = now;
  ++samples_;
  const double step = step_of(samples_);
  mean_us_ += step * (sample - mean_us_);
  if (samples_ == 1) {
    median_us_ = sample;
    return;
  }
  // Moves the estimate up or down by a fixed ratio; it converges to the value that samples exceed
  // half of the time.
  median_us_ *= std::exp(sample > median_us_ ? step : -step);
}

void service_time_estimate::record_lower_bound(duration service_time) {
  const double bound = microseconds(service_time);
  ++lower_bounds_;
  const double step = step_of(samples_ + 1);
  mean_us_ = std::max(mean_us_, mean_us_ + step * (bound - mean_us_));
  const double raised = samples_ == 0 ? bound : median_us_ * std::exp(step);
  median_us_ = std::max(median_us_, std::min(raised, bound));
}

bool service_time_estimate::is_reliable() const noexcept {
  return samples_ + lower_bounds_ >= minimum_samples;
}

bool service_time_estimate::is_old(time_point now) const {
  return samples_ == 0 || now - last_sample_at_ > sample_validity;
}

bool service_time_estimate::admits_probe(time_point now) const {
  return now >= next_probe_at_ && (samples_ < minimum_samples || is_old(now));
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

measured_run service_time_history::start(service_time_estimate& work_class, time_point now,
                                         bool probe) {
  if (probe) {
    work_class.defer_probes(time_point::max());
  }
  return {&work_class, now, probe};
}

void service_time_history::completed(const measured_run& run, time_point now) {
  const duration service_time = now - run.started_at;
  if (run.probe) {
    run.work_class->defer_probes(time_point::min());
    if (service_time < run.work_class->median()) {
      *run.work_class = {};
    }
    if (overall_.is_old(now) && service_time < overall_.median()) {
      overall_ = {};
    }
  }
  record(*run.work_class, service_time, now);
}

void service_time_history::cut_off(const measured_run& run, time_point now) {
  const duration at_least = now - run.started_at;
  if (run.probe) {
    run.work_class->defer_probes(now + probe_pause);
  }
  overall_.record_lower_bound(at_least);
  if (run.work_class != &overall_) {
    run.work_class->record_lower_bound(at_least);
  }
}

void service_time_history::not_run(const measured_run& run) {
  if (run.probe) {
    run.work_class->defer_probes(time_point::min());
  }
}

void service_time_history::record(service_time_estimate& work_class, duration service_time,
                                  time_point now) {
  overall_.record(service_time, now);
  if (&work_class != &overall_) {
    work_class.record(service_time, now);
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
  return work_class.is_reliable() ? work_class : overall_;
}

duration service_time_history::known_mean(const std::string& work_class) const {
  const auto found = by_class_.find(work_class);
  return found == by_class_.end() || found->second.samples() == 0 ? duration::zero()
                                                                  : found->second.mean();
}

}  // namespace crocusdoor

#include "routing/upstream_tracker.h"

#include <algorithm>
#include <cmath>

namespace crocusdoor {

namespace {

// Weight of one response in the latency estimate, which follows a slow period within about five
// responses.
constexpr double latency_step = 0.3;
constexpr double usual_latency_step = 0.01;
// A latency counts up to this multiple of the estimate, so that a single slow response moves it
// little; a slow period consists of many responses.
constexpr double sample_ratio_limit = 4;
// Decay time of the weight of a report. Load changes within tens of requests, so an older report
// says little.
constexpr double report_lifetime_us = 300'000;
constexpr duration initial_avoidance = std::chrono::milliseconds(500);
constexpr std::int32_t doubling_limit = 4;

}  // namespace

void upstream_tracker::request_sent(time_point now) {
  in_flight_.push_back({now});
}

void upstream_tracker::request_ended(time_point now, duration latency, verdict outcome,
                                     const std::optional<load_report>& report) {
  const bool answered_by_target = outcome == verdict::ran;
  remove_in_flight(now - latency, answered_by_target);
  // A request without a response gives a lower bound of the latency.
  const bool slower_than_estimate = static_cast<double>(latency.count()) > latency_us_;
  if (answered_by_target ||
      (outcome == verdict::may_have_run && responses_ > 0 && slower_than_estimate)) {
    record_latency(latency);
  }
  if (outcome != verdict::may_have_run) {
    failures_ = 0;
  }
  if (report.has_value()) {
    const double reported = report->slots_in_use + report->queued;
    others_load_ = std::max(0.0, reported - static_cast<double>(in_flight_.size()));
    reported_at_ = now;
  }
}

void upstream_tracker::connection_failed(time_point now) {
  avoided_until_ = now + initial_avoidance * (1 << std::min(failures_, doubling_limit));
  ++failures_;
}

duration upstream_tracker::latency(time_point now) const {
  double result = latency_us_;
  // Uses the second oldest request that was not overtaken, because a single one may be slow by
  // itself.
  std::size_t pending = 0;
  for (const auto& request : in_flight_) {
    if (!request.overtaken && ++pending == 2) {
      result = std::max(result, static_cast<double>((now - request.sent_at).count()));
    }
  }
  return duration(static_cast<duration::rep>(result));
}

duration upstream_tracker::usual_latency() const {
  return duration(static_cast<duration::rep>(usual_latency_us_));
}

void upstream_tracker::recover(duration latency) {
  usual_frozen_ = false;
  latency_us_ = static_cast<double>(latency.count());
}

double upstream_tracker::report_weight(time_point now) const {
  if (!reported_at_.has_value()) {
    return 0;
  }
  return std::exp(-static_cast<double>((now - *reported_at_).count()) / report_lifetime_us);
}

double upstream_tracker::estimated_load(time_point now, double others_expected) const {
  const double weight = report_weight(now);
  return static_cast<double>(in_flight_.size()) + weight * others_load_ +
         (1 - weight) * others_expected;
}

bool upstream_tracker::overtaken(time_point sent_at) const {
  return std::any_of(in_flight_.begin(), in_flight_.end(), [&](const sent_request& request) {
    return request.sent_at == sent_at && request.overtaken;
  });
}

std::optional<time_point> upstream_tracker::reachable_since() const {
  return avoided_until_ == time_point() ? std::nullopt : std::optional(avoided_until_);
}

void upstream_tracker::remove_in_flight(time_point sent_at, bool answered_by_target) {
  const auto found =
      std::find_if(in_flight_.begin(), in_flight_.end(),
                   [&](const sent_request& request) { return request.sent_at >= sent_at; });
  if (answered_by_target) {
    for (auto earlier = in_flight_.begin(); earlier != found; ++earlier) {
      earlier->overtaken = true;
    }
  }
  if (found != in_flight_.end()) {
    in_flight_.erase(found);
  } else if (!in_flight_.empty()) {
    in_flight_.erase(in_flight_.begin());
  }
}

void upstream_tracker::record_latency(duration latency) {
  const auto sample = static_cast<double>(latency.count());
  latest_latency_ = latency;
  ++responses_;
  if (responses_ == 1) {
    latency_us_ = sample;
    usual_latency_us_ = sample;
    return;
  }
  const double limited = std::min(sample, sample_ratio_limit * latency_us_);
  latency_us_ += latency_step * (limited - latency_us_);
  if (!usual_frozen_) {
    const double step = std::max(usual_latency_step, 1.0 / static_cast<double>(responses_));
    usual_latency_us_ +=
        step * (std::min(sample, sample_ratio_limit * usual_latency_us_) - usual_latency_us_);
  }
}

}  // namespace crocusdoor

#include "rollout/share_plan.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace crocusdoor {

namespace {

constexpr std::array<std::int32_t, 3> steps = {100, 300, full_permille};
/// Share before the first reports: the rate of the requests is not known yet.
constexpr double first_share = 0.02;
/// Limit of the canary share where the slack would allow more.
constexpr double canary_share_limit = 0.2;
/// Part of the slack that is planned for; the rest covers requests that are not reported yet.
constexpr double planned_slack = 0.7;
/// Part of the room that the canary share uses, because the rate of the requests varies.
constexpr double planned_room = 0.75;
/// Part of the requests until the deadline that the bound relies on, for the same reason.
constexpr double relied_rate = 0.8;
/// Time from the first bad response of a version until it gets no more requests: two reports, and
/// the way of the messages.
constexpr duration reaction_time = std::chrono::milliseconds(600);
/// Part of the duration of a rollout for each step, and limits of the result.
constexpr double step_part = 0.04;
constexpr duration shortest_step = std::chrono::milliseconds(500);
constexpr duration longest_step = std::chrono::seconds(3);
/// The same for the time in which the requests at the old version end.
constexpr double drain_part = 0.12;
constexpr duration shortest_drain = std::chrono::milliseconds(1'200);
constexpr duration longest_drain = std::chrono::seconds(6);
/// Time for the write of the status before the deadline.
constexpr duration write_time = std::chrono::milliseconds(500);

double seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

duration part_of(duration span, double part, duration shortest, duration longest) {
  const auto scaled = std::chrono::duration_cast<duration>(span * part);
  return std::clamp(scaled, shortest, longest);
}

}  // namespace

share_plan::share_plan(exposure_bound bound, duration span, time_point deadline)
    : bound_(bound),
      step_time_(part_of(span, step_part, shortest_step, longest_step)),
      drain_time_(part_of(span, drain_part, shortest_drain, longest_drain)),
      deadline_(deadline) {}

time_point share_plan::steps_begin() const {
  return deadline_ - write_time - drain_time_ - step_time_ * (steps.size() - 1);
}

double share_plan::room(const rollout_progress& progress, time_point now) const {
  const double left = std::max(0.0, seconds(deadline_ - now));
  const double total = static_cast<double>(progress.requests) + relied_rate * progress.rate * left;
  return bound_.share * total + planned_slack * bound_.slack -
         static_cast<double>(progress.exposure);
}

std::int32_t share_plan::canary_permille(const rollout_progress& progress, time_point now) const {
  if (progress.rate <= 0) {
    return static_cast<std::int32_t>(full_permille * std::min(first_share, bound_.share));
  }
  double reserve = progress.rate * seconds(reaction_time);
  for (const std::int32_t permille : steps) {
    reserve += permille < full_permille
                   ? progress.rate * seconds(step_time_) * permille / full_permille
                   : 0.0;
  }
  const double left = std::max(seconds(step_time_), seconds(steps_begin() - now));
  const double share =
      planned_room * (room(progress, now) - reserve) / std::max(1.0, progress.rate * left);
  return static_cast<std::int32_t>(full_permille * std::clamp(share, 0.0, canary_share_limit));
}

bool share_plan::may_step(const rollout_progress& progress, time_point now) const {
  if (progress.quality != version_quality::good || !progress.enough_upstreams ||
      now < steps_begin() || now >= deadline_) {
    return false;
  }
  const double until_noticed =
      progress.rate * seconds(reaction_time) * steps[step_] / full_permille;
  return room(progress, now) >= until_noticed;
}

void share_plan::resume(std::int32_t permille, time_point now) {
  const auto reached = std::find(steps.begin(), steps.end(), permille);
  step_ = reached == steps.end() ? 0 : static_cast<std::size_t>(reached - steps.begin()) + 1;
  step_taken_at_ = now;
}

std::int32_t share_plan::next(const rollout_progress& progress, time_point now) {
  if (!progress.any_upstream) {
    step_ = 0;
    return 0;
  }
  if (step_ < steps.size() && (step_ == 0 || now - step_taken_at_ >= step_time_) &&
      may_step(progress, now)) {
    ++step_;
    step_taken_at_ = now;
  }
  return step_ > 0 ? steps[step_ - 1] : canary_permille(progress, now);
}

}  // namespace crocusdoor

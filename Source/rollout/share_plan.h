#pragma once

#include <cstdint>

#include "core/time.h"
#include "rollout/version_comparison.h"

namespace crocusdoor {

/// Share of all requests in permille.
inline constexpr std::int32_t full_permille = 1'000;

/// Bound on the requests that a version may get while it is not known to be good.
struct exposure_bound {
  double share = 0;  ///< Of the requests to the service between the order and its deadline.
  double slack = 0;  ///< Requests in addition.
};

/// What the deciding daemon knows of a rollout at one time.
struct rollout_progress {
  version_quality quality = version_quality::unknown;
  std::uint64_t exposure = 0;     ///< Requests sent to the new version.
  std::uint64_t requests = 0;     ///< At both versions.
  double rate = 0;                ///< Requests a second at both versions; 0 if it is not known.
  bool any_upstream = false;      ///< Whether the new version has an upstream.
  bool enough_upstreams = false;  ///< Whether the new version can take all requests.
};

/// The share of the requests that the new version gets, from the order to its deadline.
///
/// The bound holds for the whole duration, whatever the version does: the canary share leaves a
/// reserve for the steps near the deadline, which are long enough to notice a bad version.
class share_plan {
 public:
  share_plan(exposure_bound bound, duration span, time_point deadline);

  /// The share from now on, in permille. Call several times a second.
  [[nodiscard]] std::int32_t next(const rollout_progress& progress, time_point now);
  /// Continues with the step that another daemon had reached.
  void resume(std::int32_t permille, time_point now);
  /// Whether the share is being raised to all requests.
  [[nodiscard]] bool rising() const noexcept { return step_ > 0; }
  [[nodiscard]] time_point deadline() const noexcept { return deadline_; }
  /// When the steps begin.
  [[nodiscard]] time_point steps_begin() const;

 private:
  [[nodiscard]] std::int32_t canary_permille(const rollout_progress& progress,
                                             time_point now) const;
  /// Requests that the bound still allows until the deadline.
  [[nodiscard]] double room(const rollout_progress& progress, time_point now) const;
  [[nodiscard]] bool may_step(const rollout_progress& progress, time_point now) const;

  exposure_bound bound_;
  duration step_time_;
  duration drain_time_;
  time_point deadline_;
  std::size_t step_ = 0;  ///< Number of steps taken.
  time_point step_taken_at_{};
};

}  // namespace crocusdoor

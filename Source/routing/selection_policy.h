#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "core/random_source.h"
#include "core/time.h"

namespace crocusdoor {

/// One upstream that a request may be sent to.
struct selection_candidate {
  double weight = 1;  ///< Share of its normal traffic; greater than 0.
  double score = 0;   ///< Expected time to the response in microseconds; lower is better.
};

/// Estimates from which the expected time to a response is calculated.
struct upstream_estimate {
  duration latency{0};  ///< Zero if unknown.
  double load = 0;      ///< Requests that run or wait at the target.
  std::int32_t slots = 1;
};

/// Calculates the expected time to the response.
class score_rule {
 public:
  virtual ~score_rule() = default;
  /// In microseconds; scores are only compared with each other.
  [[nodiscard]] virtual double score(const upstream_estimate& estimate) const = 0;
};

/// Latency, raised by the share of slots in use and by the wait for a free slot.
class expected_wait_score final : public score_rule {
 public:
  [[nodiscard]] double score(const upstream_estimate& estimate) const override;
};

/// Gives all upstreams the same score (baseline).
class equal_score final : public score_rule {
 public:
  [[nodiscard]] double score(const upstream_estimate& estimate) const override;
};

/// Picks one of several candidates.
class choice_rule {
 public:
  virtual ~choice_rule() = default;
  /// Index of the choice; `candidates` is not empty, `call_number` counts the calls to a service.
  [[nodiscard]] virtual std::size_t pick(const std::vector<selection_candidate>& candidates,
                                         std::uint64_t call_number,
                                         random_source& random) const = 0;
};

/// Picks the better of two candidates drawn by weight. Callers with the same outdated information
/// still spread over many targets, which they would not if each chose the best of all candidates.
class better_of_two final : public choice_rule {
 public:
  [[nodiscard]] std::size_t pick(const std::vector<selection_candidate>& candidates,
                                 std::uint64_t call_number, random_source& random) const override;
};

/// Picks each candidate in turn (baseline).
class round_robin final : public choice_rule {
 public:
  [[nodiscard]] std::size_t pick(const std::vector<selection_candidate>& candidates,
                                 std::uint64_t call_number, random_source& random) const override;
};

/// Preference for the own zone.
class zone_rule {
 public:
  virtual ~zone_rule() = default;
  /// Whether nearer upstreams are preferred.
  [[nodiscard]] virtual bool prefers_near() const = 0;
  /// Whether to leave the zone, given the scores of the best candidate inside and outside.
  [[nodiscard]] virtual bool leaves_zone(double inside, double outside, bool spilling) const = 0;
};

/// Leaves the zone when it is worse by `enter_ratio`, and keeps spilling over until it is worse by
/// less than `leave_ratio`, so that small differences do not move traffic back and forth.
class own_zone_first final : public zone_rule {
 public:
  explicit own_zone_first(double enter_ratio = 1.4, double leave_ratio = 1.15)
      : enter_ratio_(enter_ratio), leave_ratio_(leave_ratio) {}
  [[nodiscard]] bool prefers_near() const override { return true; }
  [[nodiscard]] bool leaves_zone(double inside, double outside, bool spilling) const override;

 private:
  double enter_ratio_;
  double leave_ratio_;
};

/// Treats all zones alike (baseline).
class any_zone final : public zone_rule {
 public:
  [[nodiscard]] bool prefers_near() const override { return false; }
  [[nodiscard]] bool leaves_zone(double inside, double outside, bool spilling) const override;
};

/// Latencies that decide whether a target is slow.
struct latency_comparison {
  duration current{0};
  duration usual{0};  ///< Of the same upstream over a longer time.
  duration peers{0};  ///< Median of the current latencies of the service's upstreams.
};

/// Detects targets that are slow at present.
class slow_target_rule {
 public:
  virtual ~slow_target_rule() = default;
  /// Whether an upstream is to be avoided from now on.
  [[nodiscard]] virtual bool is_slow(const latency_comparison& latencies) const = 0;
  /// Whether an avoided upstream that answered a probe with this latency has recovered.
  [[nodiscard]] virtual bool has_recovered(const latency_comparison& latencies) const = 0;
};

/// Slow in comparison with its peers and with its own past. When all targets slow down together,
/// none is slower than its peers; a distant target is not slower than its own past.
class slower_than_peers final : public slow_target_rule {
 public:
  explicit slower_than_peers(double slow_ratio = 3, double recovered_ratio = 2)
      : slow_ratio_(slow_ratio), recovered_ratio_(recovered_ratio) {}
  [[nodiscard]] bool is_slow(const latency_comparison& latencies) const override;
  [[nodiscard]] bool has_recovered(const latency_comparison& latencies) const override;

 private:
  double slow_ratio_;
  double recovered_ratio_;
};

/// No target is ever avoided (baseline).
class never_slow final : public slow_target_rule {
 public:
  [[nodiscard]] bool is_slow(const latency_comparison& latencies) const override;
  [[nodiscard]] bool has_recovered(const latency_comparison& latencies) const override;
};

/// Weight of a target that has just become ready or has recovered.
class ramp_rule {
 public:
  virtual ~ramp_rule() = default;
  /// Weight at `age` of a ramp that takes `length`; greater than 0, at most 1.
  [[nodiscard]] virtual double weight(duration age, duration length) const = 0;
};

/// Grows in proportion to the age, from a tenth.
class linear_ramp final : public ramp_rule {
 public:
  [[nodiscard]] double weight(duration age, duration length) const override;
};

/// Full weight at once (baseline).
class no_ramp final : public ramp_rule {
 public:
  [[nodiscard]] double weight(duration age, duration length) const override;
};

/// Rules of one upstream selector. No rule may be null.
struct selection_policy {
  std::shared_ptr<const score_rule> score = std::make_shared<expected_wait_score>();
  std::shared_ptr<const choice_rule> choice = std::make_shared<better_of_two>();
  std::shared_ptr<const zone_rule> zone = std::make_shared<own_zone_first>();
  std::shared_ptr<const slow_target_rule> slow_target = std::make_shared<slower_than_peers>();
  std::shared_ptr<const ramp_rule> ramp = std::make_shared<linear_ramp>();
  duration cold_ramp = std::chrono::seconds(10);      ///< From ready to full weight.
  duration return_ramp = std::chrono::seconds(2);     ///< From recovery to full weight.
  duration probe_interval = std::chrono::seconds(2);  ///< Between probes of a slow upstream.
  /// Spilling over to other zones ends after this time without need.
  duration spill_hold = std::chrono::seconds(1);
  /// Number of calls in flight to one upstream from which others are preferred; 0 for no limit. All
  /// of these calls must be repeated if the upstream stops responding, so the burst of the retry
  /// budget is a good limit.
  std::size_t in_flight_limit = 0;
};

/// Each upstream in turn, in any zone and in any state: the baseline of the benchmarks.
[[nodiscard]] selection_policy round_robin_policy();

}  // namespace crocusdoor

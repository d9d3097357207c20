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
  double score = 0;   ///< Expected time to the answer in microseconds; lower is better.
};

/// Estimates from which the expected time to an answer follows.
struct upstream_estimate {
  duration latency{0};  ///< Zero if unknown.
  double load = 0;      ///< Requests that run or wait at the target.
  std::int32_t slots = 1;
};

/// Expected time to the answer.
class score_rule {
 public:
  virtual ~score_rule() = default;
  /// Microseconds; only compared with each other.
  [[nodiscard]] virtual double score(const upstream_estimate& estimate) const = 0;
};

/// Latency, raised by the share of slots in use and by the wait for a free slot.
class expected_wait_score final : public score_rule {
 public:
  [[nodiscard]] double score(const upstream_estimate& estimate) const override;
};

/// All upstreams are alike (baseline).
class equal_score final : public score_rule {
 public:
  [[nodiscard]] double score(const upstream_estimate& estimate) const override;
};

/// Picks one of several candidates.
class choice_rule {
 public:
  virtual ~choice_rule() = default;
  /// Index of the choice; `candidates` is not empty, `turn` counts the calls of a service.
  [[nodiscard]] virtual std::size_t pick(const std::vector<selection_candidate>& candidates,
                                         std::uint64_t turn, random_source& random) const = 0;
};

/// The better of two candidates drawn by weight. Callers with the same old information still
/// spread over many targets, which a choice of the best of all would not do.
class better_of_two final : public choice_rule {
 public:
  [[nodiscard]] std::size_t pick(const std::vector<selection_candidate>& candidates,
                                 std::uint64_t turn, random_source& random) const override;
};

/// Each candidate in turn (baseline).
class round_robin final : public choice_rule {
 public:
  [[nodiscard]] std::size_t pick(const std::vector<selection_candidate>& candidates,
                                 std::uint64_t turn, random_source& random) const override;
};

/// Preference for the own zone.
class zone_rule {
 public:
  virtual ~zone_rule() = default;
  /// Whether nearer upstreams come first.
  [[nodiscard]] virtual bool prefers_near() const = 0;
  /// Whether to leave the zone, given the scores of the best candidate inside and outside.
  [[nodiscard]] virtual bool leaves_zone(double inside, double outside, bool spilling) const = 0;
};

/// Leaves the zone when it is worse by `enter_ratio`, and keeps spilling over until it is worse by
/// less than `leave_ratio`, so that small differences do not move traffic to and fro.
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

/// All zones alike (baseline).
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
  /// Whether an upstream becomes avoided.
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

/// Weight of a target that is cold or returns.
class ramp_rule {
 public:
  virtual ~ramp_rule() = default;
  /// Weight after `age` of a ramp that takes `length`; from above 0 to 1.
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
  duration spill_hold = std::chrono::seconds(1);  ///< Spilling ends after this time without need.
  /// Calls in flight to one upstream beyond which others are preferred, 0 for any number. All of
  /// them must be repeated if the upstream falls silent, so the saved-up retries are a good limit.
  std::size_t in_flight_limit = 0;
};

/// Each upstream in turn, in any zone, whatever its state: the baseline of the benchmarks.
[[nodiscard]] selection_policy round_robin_policy();

}  // namespace crocusdoor

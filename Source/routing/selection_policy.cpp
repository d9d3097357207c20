#include "routing/selection_policy.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace crocusdoor {

namespace {

// Reported waits count up to this many service times, so that a false report of a long queue does
// not keep a target idle while the others are full.
constexpr double reported_wait_limit = 2;

double microseconds(duration span) {
  return static_cast<double>(span.count());
}

// Draws a random index with probabilities in proportion to the weights, leaving out `skipped`.
std::size_t draw(const std::vector<selection_candidate>& candidates, std::size_t skipped,
                 random_source& random) {
  double total = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    total += i == skipped ? 0 : candidates[i].weight;
  }
  double point = random.fraction() * total;
  std::size_t last = skipped == 0 ? 1 : 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (i == skipped) {
      continue;
    }
    last = i;
    point -= candidates[i].weight;
    if (point < 0) {
      break;
    }
  }
  return last;
}

}  // namespace

double expected_wait_score::score(const upstream_estimate& estimate) const {
  const double latency = std::max(1.0, microseconds(estimate.latency));
  const double slots = std::max(1, estimate.slots);
  const double utilization = std::min(1.0, estimate.load / slots);
  const double queued_per_slot = std::max(0.0, estimate.load + 1 - slots) / slots;
  return latency * (1 + 0.3 * utilization + 0.7 * std::pow(utilization, 4) +
                    std::min(queued_per_slot, reported_wait_limit));
}

double equal_score::score(const upstream_estimate& /*estimate*/) const {
  return 0;
}

std::size_t better_of_two::pick(const std::vector<selection_candidate>& candidates,
                                std::uint64_t /*call_number*/, random_source& random) const {
  if (candidates.size() == 1) {
    return 0;
  }
  const std::size_t first = draw(candidates, candidates.size(), random);
  const std::size_t second = draw(candidates, first, random);
  return candidates[second].score < candidates[first].score ? second : first;
}

std::size_t round_robin::pick(const std::vector<selection_candidate>& candidates,
                              std::uint64_t call_number, random_source& /*random*/) const {
  return static_cast<std::size_t>(call_number % candidates.size());
}

bool own_zone_first::leaves_zone(double inside, double outside, bool spilling) const {
  return inside > outside * (spilling ? leave_ratio_ : enter_ratio_);
}

bool any_zone::leaves_zone(double /*inside*/, double /*outside*/, bool /*spilling*/) const {
  return false;
}

bool slower_than_peers::is_slow(const latency_comparison& latencies) const {
  const double current = microseconds(latencies.current);
  return latencies.peers.count() > 0 && latencies.usual.count() > 0 &&
         current > slow_ratio_ * microseconds(latencies.peers) &&
         current > slow_ratio_ * microseconds(latencies.usual);
}

bool slower_than_peers::has_recovered(const latency_comparison& latencies) const {
  const double reference = std::max(microseconds(latencies.peers), microseconds(latencies.usual));
  return microseconds(latencies.current) < recovered_ratio_ * reference;
}

bool never_slow::is_slow(const latency_comparison& /*latencies*/) const {
  return false;
}

bool never_slow::has_recovered(const latency_comparison& /*latencies*/) const {
  return true;
}

double linear_ramp::weight(duration age, duration length) const {
  constexpr double minimum_weight = 0.1;
  if (age >= length) {
    return 1;
  }
  return std::max(minimum_weight, microseconds(age) / microseconds(length));
}

double no_ramp::weight(duration /*age*/, duration /*length*/) const {
  return 1;
}

selection_policy round_robin_policy() {
  selection_policy policy;
  policy.score = std::make_shared<equal_score>();
  policy.choice = std::make_shared<round_robin>();
  policy.zone = std::make_shared<any_zone>();
  policy.slow_target = std::make_shared<never_slow>();
  policy.ramp = std::make_shared<no_ramp>();
  return policy;
}

}  // namespace crocusdoor

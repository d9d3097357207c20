#include "rollout/version_comparison.h"

#include <algorithm>
#include <cmath>

namespace crocusdoor {

namespace {

/// Failures of a good version beyond those that the old version's rate explains, as a fraction of
/// its requests.
constexpr double failure_tolerance = 0.01;
/// The same for slow responses. Few upstreams get the first requests, and one of them may be 1.7
/// times slower than the others and 2.5 times slower still for a seventh of the time.
constexpr double slow_tolerance = 0.1;
/// A difference counts if it exceeds this many standard deviations and this many requests. Several
/// classes are compared several times a second, so two standard deviations would often be exceeded
/// by chance.
constexpr double deviations = 3;
constexpr double minimum_excess = 3;
/// Ratio of the mean times from which the new version is bad: above that of the slowest target
/// (1.7) to the mean of all, below several times.
constexpr double slow_mean_ratio = 2.2;
constexpr std::uint64_t minimum_times = 20;
/// Requests of the new version from which it may be called good.
constexpr double sufficient_requests = 20;
constexpr std::uint64_t minimum_requests = 3;
/// Part of the requests that a class would have by its share of the traffic which must have ended.
constexpr double sufficient_part = 0.4;

/// Whether `count` of `requests` is more than chance explains at a usual rate.
bool exceeds(std::uint64_t count, std::uint64_t requests, double rate) {
  const double expected = static_cast<double>(requests) * rate;
  return static_cast<double>(count) - expected > minimum_excess + deviations * std::sqrt(expected);
}

/// Rate at the old version, with the uncertainty of a small sample.
double upper_rate(std::uint64_t count, std::uint64_t requests) {
  if (requests == 0) {
    return 0;
  }
  const auto total = static_cast<double>(requests);
  const double rate = static_cast<double>(count) / total;
  return std::min(1.0, rate + std::sqrt(rate * (1 - rate) / total));
}

double mean_us(const outcome_totals& totals) {
  const std::uint64_t timed = totals.requests - std::min(totals.requests, totals.failures);
  return timed == 0 ? 0 : static_cast<double>(totals.total_time_us) / static_cast<double>(timed);
}

const char* difference(const version_outcome_pair& pair) {
  const outcome_totals& before = pair.old_version;
  const outcome_totals& after = pair.new_version;
  if (exceeds(after.failures, after.requests,
              std::min(1.0, upper_rate(before.failures, before.requests) + failure_tolerance))) {
    return "failures";
  }
  if (exceeds(after.slow, after.requests,
              std::min(1.0, upper_rate(before.slow, before.requests) + slow_tolerance))) {
    return "slow_responses";
  }
  const bool timed =
      before.requests - std::min(before.requests, before.failures) >= minimum_times &&
      after.requests - std::min(after.requests, after.failures) >= minimum_times;
  return timed && mean_us(after) > slow_mean_ratio * mean_us(before) ? "mean_time" : nullptr;
}

}  // namespace

outcome_totals& operator+=(outcome_totals& sum, const outcome_totals& added) {
  sum.requests += added.requests;
  sum.failures += added.failures;
  sum.slow += added.slow;
  sum.total_time_us += added.total_time_us;
  return sum;
}

outcome_totals operator-(const outcome_totals& now, const outcome_totals& earlier) {
  const auto less = [](std::uint64_t left, std::uint64_t right) {
    return left - std::min(left, right);
  };
  return {less(now.requests, earlier.requests), less(now.failures, earlier.failures),
          less(now.slow, earlier.slow), less(now.total_time_us, earlier.total_time_us)};
}

version_judgement compare_versions(const version_outcome_map& outcomes) {
  std::uint64_t old_requests = 0;
  outcome_totals all;
  outcome_totals expected;  // What the new version would have had at the old version's rates.
  for (const auto& [work_class, pair] : outcomes) {
    if (const char* reason = difference(pair)) {
      return {version_quality::bad, work_class, reason};
    }
    old_requests += pair.old_version.requests;
    all += pair.new_version;
    const std::uint64_t usual = pair.old_version.requests;
    const auto share = static_cast<double>(pair.new_version.requests);
    const auto scaled = [&](std::uint64_t count) {
      return static_cast<std::uint64_t>(std::ceil(share * upper_rate(count, usual)));
    };
    expected.failures += scaled(pair.old_version.failures);
    expected.slow += scaled(pair.old_version.slow);
  }
  if (all.requests == 0) {
    return {version_quality::unknown, "", "no_requests"};
  }
  const auto total = static_cast<double>(all.requests);
  const auto pooled = [&](std::uint64_t count, double tolerance) {
    return std::min(1.0, static_cast<double>(count) / total + tolerance);
  };
  if (exceeds(all.failures, all.requests, pooled(expected.failures, failure_tolerance))) {
    return {version_quality::bad, "", "failures"};
  }
  if (exceeds(all.slow, all.requests, pooled(expected.slow, slow_tolerance))) {
    return {version_quality::bad, "", "slow_responses"};
  }
  if (all.requests < minimum_requests) {
    return {version_quality::unknown, "", "few_requests"};
  }
  for (const auto& [work_class, pair] : outcomes) {
    const double usual = total * static_cast<double>(pair.old_version.requests) /
                         std::max<double>(1.0, static_cast<double>(old_requests));
    const double needed = std::floor(std::min(sufficient_requests, usual * sufficient_part));
    if (static_cast<double>(pair.new_version.requests) < needed) {
      return {version_quality::unknown, work_class, "few_requests"};
    }
  }
  return {version_quality::good, "", ""};
}

}  // namespace crocusdoor

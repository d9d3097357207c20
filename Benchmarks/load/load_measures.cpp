#include "load_measures.h"

#include <algorithm>
#include <functional>

namespace crocusdoor::load_benchmark {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

double in_seconds(duration span) {
  return static_cast<double>(span.count()) / 1e6;
}

// Requests of the first 5 s are not measured: the latency and load estimates of a newly started
// process are still empty.
constexpr duration warm_up = seconds(5);

constexpr duration peak_begin = seconds(5);
constexpr duration peak_full = seconds(7);
constexpr duration peak_end = seconds(22);

double peak_load(duration at) {
  constexpr double ordinary = 0.7;
  if (at < peak_begin || at >= peak_end) {
    return ordinary;
  }
  const double progress =
      std::min(1.0, in_seconds(at - peak_begin) / in_seconds(peak_full - peak_begin));
  return ordinary + progress * (3 - ordinary);
}

// Returns the 99th percentile of latency in seconds over the requests that `is_counted` accepts.
// The latency of a failed request is the time until it failed.
double tail_latency(const run_result& result,
                    const std::function<bool(const finished_request&)>& is_counted) {
  std::vector<duration> latencies;
  for (const finished_request& request : result.requests) {
    if (is_counted(request)) {
      latencies.push_back(request.latency);
    }
  }
  if (latencies.empty()) {
    return 0;
  }
  const auto position =
      latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() * 99 / 100);
  std::nth_element(latencies.begin(), position, latencies.end());
  return in_seconds(*position);
}

// Returns the share of short requests, after the warm-up, that got a successful response.
double answered_share(const run_result& result) {
  double all = 0;
  double answered = 0;
  for (const finished_request& request : result.requests) {
    if (!request.is_long && request.arrival >= warm_up) {
      all += 1;
      answered += request.answered ? 1 : 0;
    }
  }
  return answered / std::max(1.0, all);
}

// Returns the seconds from the end of the peak to the end of the last 250 ms bucket in which fewer
// than 99% of the arriving requests got a successful response.
double recovery_time(const run_result& result, duration end) {
  constexpr duration bucket = milliseconds(250);
  std::vector<std::pair<int, int>> buckets(static_cast<std::size_t>((end - peak_end) / bucket) + 1);
  for (const finished_request& request : result.requests) {
    if (request.arrival >= peak_end) {
      auto& [all, answered] =
          buckets[static_cast<std::size_t>((request.arrival - peak_end) / bucket)];
      ++all;
      answered += request.answered ? 1 : 0;
    }
  }
  double recovered = 0;
  for (std::size_t i = 0; i < buckets.size(); ++i) {
    if (buckets[i].second * 100 < buckets[i].first * 99) {
      recovered = static_cast<double>(i + 1) * in_seconds(bucket);
    }
  }
  return recovered;
}

std::vector<slow_period> make_slow_periods(const deployment& site, duration length,
                                           std::uint64_t seed) {
  random_source random(seed + 1000);
  std::vector<slow_period> slow_periods;
  duration begin = warm_up + seconds(2);
  while (begin + seconds(5) < length) {
    const duration end = begin + seconds(2) + random.up_to(seconds(2));
    slow_periods.push_back({.begin = begin, .end = end, .target = random.index(site.targets)});
    begin = end + seconds(2) + random.up_to(seconds(3));
  }
  return slow_periods;
}

}  // namespace

std::vector<figure> measure_peak_load(const deployment& site, const load_rules& rules,
                                      std::uint64_t seed) {
  const run_plan plan{.site = site,
                      .rules = rules,
                      .seed = seed,
                      .length = seconds(40),
                      .load = peak_load,
                      .user_attempts = 3};
  const run_result result = run_load(plan);
  double answered = 0;
  for (const finished_request& request : result.requests) {
    const duration end = request.arrival + request.latency;
    answered += request.answered && end >= peak_full && end < peak_end ? 1 : 0;
  }
  const double goodput = answered / in_seconds(peak_end - peak_full) / site.capacity();
  return {{"goodput_share", goodput, 0.95, true},
          {"refused_but_executed", static_cast<double>(result.counts.refused_but_executed), 0},
          {"recovery_s", recovery_time(result, plan.length), 2}};
}

std::vector<figure> measure_long_requests(const deployment& site, const load_rules& rules,
                                          std::uint64_t seed, bool long_own_route) {
  run_plan plan{.site = site,
                .rules = rules,
                .seed = seed,
                .length = seconds(45),
                .load = [](duration) { return 0.4; },
                .long_own_route = long_own_route};
  const auto is_short = [](const finished_request& request) {
    return !request.is_long && request.arrival >= warm_up;
  };
  const double p99_without_long = tail_latency(run_load(plan), is_short);
  plan.long_share = 0.02;
  const run_result with_long = run_load(plan);
  return {{"short_p99_ratio", tail_latency(with_long, is_short) / p99_without_long, 2},
          {"short_answered_share", answered_share(with_long), 0.99, true}};
}

std::vector<figure> measure_slow_target(const deployment& site, const load_rules& rules,
                                        std::uint64_t seed) {
  run_plan plan{.site = site,
                .rules = rules,
                .seed = seed,
                .length = seconds(45),
                .load = [](duration) { return 0.5; },
                .report_delay = seconds(5)};
  const double healthy_p99 = tail_latency(
      run_load(plan), [](const finished_request& request) { return request.arrival >= warm_up; });
  plan.slow_periods = make_slow_periods(site, plan.length, seed);
  const run_result slowed = run_load(plan);
  const auto in_slow_period = [&](const finished_request& request) {
    return std::any_of(plan.slow_periods.begin(), plan.slow_periods.end(),
                       [&](const slow_period& period) {
                         return request.arrival >= period.begin && request.arrival < period.end;
                       });
  };
  return {{"p99_ratio", tail_latency(slowed, in_slow_period) / healthy_p99, 1.5},
          {"answered_share", answered_share(slowed), 0.99, true}};
}

std::vector<figure> measure(const std::string& name, const deployment& site,
                            const load_rules& rules, std::uint64_t seed) {
  if (name == "M3") {
    return measure_peak_load(site, rules, seed);
  }
  if (name == "M4" || name == "M4-own-route") {
    return measure_long_requests(site, rules, seed, name != "M4");
  }
  if (name == "M5") {
    return measure_slow_target(site, rules, seed);
  }
  return {};
}

}  // namespace crocusdoor::load_benchmark

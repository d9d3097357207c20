#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "admission/admission_policy.h"
#include "deployment.h"
#include "fake_caller.h"

namespace crocusdoor::load_benchmark {

/// Period in which one target takes `factor` times the usual service time.
struct slow_period {
  duration begin{0};
  duration end{0};
  std::size_t target = 0;
  double factor = 10;
};

/// Policies under test, of the targets and of the callers.
struct load_rules {
  admission_policy admission;
  caller_rules caller;
};

/// The policies of this library with their default settings.
[[nodiscard]] load_rules default_rules(const deployment& site);
/// Round-robin selection, FIFO queues, no limits on queues or retries, no hedging, no cancellation.
[[nodiscard]] load_rules baseline_rules(const deployment& site);

/// Load and faults of one run. Times count from the start of the run.
struct run_plan {
  deployment site;
  load_rules rules;
  std::uint64_t seed = 1;
  duration length = std::chrono::seconds(30);
  std::function<double(duration)> load;  ///< Rate of short requests divided by the capacity.
  double long_share = 0;                 ///< Share of long requests among all.
  double long_factor = 50;
  bool long_own_route = false;
  std::vector<slow_period> slow_periods;
  duration report_delay{0};
  duration timeout = std::chrono::seconds(1);
  std::int32_t user_attempts = 1;
};

struct finished_request {
  duration arrival{0};  ///< Time since the start of the run.
  duration latency{0};
  bool answered = false;
  bool is_long = false;
};

struct run_result {
  std::vector<finished_request> requests;  ///< A repeat by a user counts as a request of its own.
  call_counts counts;
};

[[nodiscard]] run_result run_load(const run_plan& plan);

}  // namespace crocusdoor::load_benchmark

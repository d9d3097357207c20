#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "admission/admission_policy.h"
#include "deployment.h"
#include "fake_caller.h"

namespace crocusdoor::load_benchmark {

/// Time in which one target is slow.
struct slow_spell {
  duration begin{0};
  duration end{0};
  std::size_t target = 0;
  double factor = 10;
};

/// Rules under test.
struct load_rules {
  admission_policy admission;
  caller_rules caller;
};

/// The rules of this library with their default settings.
[[nodiscard]] load_rules default_rules(const deployment& site);
/// Round robin, first in first out, no limits, no hedges, no cancellation.
[[nodiscard]] load_rules baseline_rules(const deployment& site);

/// Demand and faults of one run. Times are measured from its start.
struct run_plan {
  deployment site;
  load_rules rules;
  std::uint64_t seed = 1;
  duration length = std::chrono::seconds(30);
  std::function<double(duration)> load;  ///< Short requests as a share of the capacity.
  double long_share = 0;                 ///< Of all requests.
  double long_factor = 50;
  bool long_own_route = false;
  std::vector<slow_spell> spells;
  duration report_delay{0};
  duration timeout = std::chrono::seconds(1);
  std::int32_t user_tries = 1;
};

struct finished_request {
  duration arrival{0};  ///< From the start of the run.
  duration latency{0};
  bool answered = false;
  bool is_long = false;
};

struct run_result {
  std::vector<finished_request> requests;  ///< Each try of a user is one request.
  call_counts counts;
};

[[nodiscard]] run_result run_load(const run_plan& plan);

}  // namespace crocusdoor::load_benchmark

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "deployment.h"
#include "load_run.h"

namespace crocusdoor::load_benchmark {

/// One figure of a measure for the rules under test.
struct figure {
  std::string name;
  double value = 0;
  double bound = 0;  ///< From the design page.
  bool larger_is_better = false;
};

/// Goodput at three times the capacity, refusals that ran, time to recover.
[[nodiscard]] std::vector<figure> measure_peak_load(const deployment& site, const load_rules& rules,
                                                    std::uint64_t seed);

/// 99th percentile of short requests beside long ones, relative to the same without long ones.
[[nodiscard]] std::vector<figure> measure_long_requests(const deployment& site,
                                                        const load_rules& rules, std::uint64_t seed,
                                                        bool long_own_route);

/// 99th percentile of requests that arrive while a target is slow, relative to the healthy one.
[[nodiscard]] std::vector<figure> measure_slow_target(const deployment& site,
                                                      const load_rules& rules, std::uint64_t seed);

/// The figures of a measure by name: M3, M4, M4-own-route, M5. Empty for other names.
[[nodiscard]] std::vector<figure> measure(const std::string& name, const deployment& site,
                                          const load_rules& rules, std::uint64_t seed);

}  // namespace crocusdoor::load_benchmark

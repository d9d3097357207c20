#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "deployment.h"
#include "load_run.h"

namespace crocusdoor::load_benchmark {

/// One measured value with its bound.
struct figure {
  std::string name;
  double value = 0;
  double bound = 0;  ///< From the design page.
  bool larger_is_better = false;
};

/// M3: goodput at three times the capacity, refused requests that were executed, and the time to
/// recover after the peak.
[[nodiscard]] std::vector<figure> measure_peak_load(const deployment& site, const load_rules& rules,
                                                    std::uint64_t seed);

/// M4: 99th percentile of latency of short requests with 2% long requests in the load, divided by
/// the percentile without long requests.
[[nodiscard]] std::vector<figure> measure_long_requests(const deployment& site,
                                                        const load_rules& rules, std::uint64_t seed,
                                                        bool long_own_route);

/// M5: 99th percentile of latency of the requests that arrive while a target is slow, divided by
/// the percentile of a run in which no target is slow.
[[nodiscard]] std::vector<figure> measure_slow_target(const deployment& site,
                                                      const load_rules& rules, std::uint64_t seed);

/// Runs the measure `name` (M3, M4, M4-own-route or M5); returns no figures for other names.
[[nodiscard]] std::vector<figure> measure(const std::string& name, const deployment& site,
                                          const load_rules& rules, std::uint64_t seed);

}  // namespace crocusdoor::load_benchmark

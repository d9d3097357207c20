#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/time.h"

namespace crocusdoor::load_benchmark {

/// Sizes of the service with the most requests at one customer, from section 1 of the design page.
/// The page gives no number of callers and no service time; both are assumptions.
struct deployment {
  std::string name;
  std::size_t targets = 1;
  int slots = 1;
  int connections_per_target = 100;
  std::size_t failure_domains = 3;
  std::size_t callers = 1;
  duration service_time = std::chrono::milliseconds(20);  ///< Mean over short requests.
  duration one_way_delay_in_domain = std::chrono::microseconds(100);
  duration one_way_delay_between_domains = std::chrono::microseconds(1500);

  /// Short requests per second that the slots of all targets can finish together.
  [[nodiscard]] double capacity() const {
    return static_cast<double>(targets) * slots * 1e6 / static_cast<double>(service_time.count());
  }
};

/// "coast" is the statements service (6 targets with 12 slots each), "valley" the results portal
/// (4 targets with 9 slots each).
[[nodiscard]] inline std::vector<deployment> deployments() {
  return {
      {.name = "coast", .targets = 6, .slots = 12, .connections_per_target = 130, .callers = 12},
      {.name = "valley", .targets = 4, .slots = 9, .connections_per_target = 110, .callers = 9}};
}

}  // namespace crocusdoor::load_benchmark

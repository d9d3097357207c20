#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/time.h"

namespace crocusdoor::load_benchmark {

/// Sizes of section 1 of the design page for the most used service of a customer. The number of
/// callers and the service time are not on the page and are assumed.
struct deployment {
  std::string name;
  std::size_t targets = 1;
  int slots = 1;
  int connections_per_target = 100;
  std::size_t zones = 3;
  std::size_t callers = 1;
  duration service_time = std::chrono::milliseconds(20);  ///< Mean of short requests.
  duration one_way_in_zone = std::chrono::microseconds(100);
  duration one_way_between_zones = std::chrono::microseconds(1500);

  /// Short requests per second that all slots together can finish.
  [[nodiscard]] double capacity() const {
    return static_cast<double>(targets) * slots * 1e6 / static_cast<double>(service_time.count());
  }
};

/// Coast (statements, 6 upstreams with 12 slots) and valley (results portal, 4 with 9).
[[nodiscard]] inline std::vector<deployment> deployments() {
  return {
      {.name = "coast", .targets = 6, .slots = 12, .connections_per_target = 130, .callers = 12},
      {.name = "valley", .targets = 4, .slots = 9, .connections_per_target = 110, .callers = 9}};
}

}  // namespace crocusdoor::load_benchmark

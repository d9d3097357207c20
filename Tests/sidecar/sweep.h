#pragma once

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace crocusdoor {

/// Runs the random scenarios of a model with the seeds FIRST to LAST of the command line and prints
/// each that failed. `problem_of` describes the failure of a scenario; empty if it did not fail.
/// Returns the exit code.
template <typename Model, typename Describe>
int sweep(int argc, char** argv, Describe problem_of) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: %s FIRST LAST\n", argv[0]);
    return 2;
  }
  const std::uint64_t last = std::strtoull(argv[2], nullptr, 10);
  unsigned long long failed = 0;
  unsigned long long scenarios = 0;
  for (std::uint64_t seed = std::strtoull(argv[1], nullptr, 10); seed <= last;
       ++seed, ++scenarios) {
    Model model(seed);
    model.run_random_scenario();
    const std::string problem = problem_of(model);
    if (!problem.empty()) {
      ++failed;
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), problem.c_str());
    }
  }
  std::printf("%llu days, %llu failed\n", scenarios, failed);
  return failed == 0 ? 0 : 1;
}

}  // namespace crocusdoor

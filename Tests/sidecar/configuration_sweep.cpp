// Plays days of the configuration model with many seeds: configuration_sweep FIRST LAST

#include <cstdio>
#include <cstdlib>

#include "configuration_model.h"

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: configuration_sweep FIRST LAST\n");
    return 2;
  }
  const std::uint64_t last = std::strtoull(argv[2], nullptr, 10);
  std::uint64_t failed = 0;
  std::uint64_t days = 0;
  for (std::uint64_t seed = std::strtoull(argv[1], nullptr, 10); seed <= last; ++seed, ++days) {
    crocusdoor::configuration_model model(seed);
    model.run_random_day();
    const auto& late = model.late();
    if (!late.has_value()) {
      continue;
    }
    ++failed;
    std::printf("seed %llu: %s held %llu, not %llu, at %.3f s after:",
                static_cast<unsigned long long>(seed), late->instance.str().c_str(),
                static_cast<unsigned long long>(late->held),
                static_cast<unsigned long long>(late->expected),
                std::chrono::duration<double>(late->seen_at).count());
    for (const std::string& fault : model.faults()) {
      std::printf(" %s;", fault.c_str());
    }
    std::printf("\n");
  }
  std::printf("%llu days, %llu with a late version\n", static_cast<unsigned long long>(days),
              static_cast<unsigned long long>(failed));
  return failed == 0 ? 0 : 1;
}

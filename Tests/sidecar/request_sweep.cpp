// Plays days of the request model with many seeds: request_sweep FIRST LAST

#include <cstdio>
#include <cstdlib>

#include "request_model.h"

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: request_sweep FIRST LAST\n");
    return 2;
  }
  const std::uint64_t last = std::strtoull(argv[2], nullptr, 10);
  std::uint64_t failed = 0;
  std::uint64_t days = 0;
  for (std::uint64_t seed = std::strtoull(argv[1], nullptr, 10); seed <= last; ++seed, ++days) {
    crocusdoor::request_model model(seed);
    model.run_random_day();
    const auto& broken = model.broken();
    if (broken.has_value()) {
      ++failed;
      std::printf("seed %llu: %s, at %.3f s\n", static_cast<unsigned long long>(seed),
                  broken->what.c_str(), std::chrono::duration<double>(broken->seen_at).count());
    }
  }
  std::printf("%llu days, %llu with a broken promise\n", static_cast<unsigned long long>(days),
              static_cast<unsigned long long>(failed));
  return failed == 0 ? 0 : 1;
}

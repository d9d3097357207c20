#include "core/random_source.h"

#include <array>
#include <cstdio>

namespace crocusdoor {

std::size_t random_source::index(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(engine_);
}

double random_source::fraction() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
}

duration random_source::exponential(duration mean) {
  if (mean <= duration::zero()) {
    return duration::zero();
  }
  const double rate = 1.0 / static_cast<double>(mean.count());
  return duration(static_cast<duration::rep>(std::exponential_distribution<double>(rate)(engine_)));
}

duration random_source::up_to(duration limit) {
  if (limit <= duration::zero()) {
    return duration::zero();
  }
  return duration(static_cast<duration::rep>(index(static_cast<std::size_t>(limit.count()))));
}

std::string random_source::identifier() {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(engine_()),
                static_cast<unsigned long long>(engine_()));
  return text.data();
}

}  // namespace crocusdoor

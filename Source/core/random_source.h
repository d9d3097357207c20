#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

#include "core/time.h"

namespace crocusdoor {

/// Pseudo-random number generator that is passed into each decision. The same seed gives the same
/// decisions.
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : engine_(seed) {}

  /// Uniform integer in [0, count); `count` must be positive.
  [[nodiscard]] std::size_t index(std::size_t count);

  /// Uniform real number in [0, 1).
  [[nodiscard]] double fraction();

  /// Exponentially distributed duration with the given mean.
  [[nodiscard]] duration exponential(duration mean);

  /// Uniform duration in [0, limit).
  [[nodiscard]] duration up_to(duration limit);

  /// Random identifier of 32 hexadecimal characters.
  [[nodiscard]] std::string identifier();

 private:
  std::mt19937_64 engine_;
};

}  // namespace crocusdoor

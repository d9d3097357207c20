#pragma once

#include <cstdint>
#include <string>

#include "core/time.h"

namespace crocusdoor {

/// Capped exponential backoff with full jitter. The jitter is a hash of the seed and of the number
/// of delays drawn so far, so a copy of this object returns the same delays.
class retry_backoff {
 public:
  retry_backoff(std::string seed, duration first, duration cap)
      : seed_(std::move(seed)), first_(first), cap_(cap) {}

  /// Counts one failure and returns the delay before the next attempt.
  [[nodiscard]] duration next();
  void reset() noexcept { failures_ = 0; }

 private:
  std::string seed_;
  duration first_;
  duration cap_;
  std::uint32_t failures_ = 0;
  std::uint64_t draws_ = 0;
};

}  // namespace crocusdoor

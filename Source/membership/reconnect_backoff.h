#pragma once

#include <cstdint>

#include "core/random_source.h"
#include "core/time.h"

namespace crocusdoor {

/// Times of a reconnect back-off.
struct reconnect_backoff_limits {
  duration base = std::chrono::milliseconds(100);  ///< Longest delay before the first attempt.
  duration cap = std::chrono::seconds(10);         ///< Longest delay of any attempt.
};

/// Delays between attempts to reach one peer: exponential and capped, with full jitter, so that
/// daemons that failed together do not come back together.
class reconnect_backoff {
 public:
  explicit reconnect_backoff(reconnect_backoff_limits limits = {}) : limits_(limits) {}

  /// Delay before the next attempt: uniform between zero and a ceiling that doubles each time.
  [[nodiscard]] duration next_delay(random_source& random);

  /// The peer answered; the next failure starts from the base again.
  void succeeded() noexcept { failures_ = 0; }

  /// Attempts since the last success.
  [[nodiscard]] std::uint32_t failures() const noexcept { return failures_; }

 private:
  reconnect_backoff_limits limits_;
  std::uint32_t failures_ = 0;
};

}  // namespace crocusdoor

#pragma once

#include <cstdint>

#include "core/random_source.h"
#include "core/time.h"

namespace crocusdoor {

/// Delays of a reconnect backoff.
struct reconnect_backoff_limits {
  duration base = std::chrono::milliseconds(100);  ///< Maximum delay before the first attempt.
  duration cap = std::chrono::seconds(10);         ///< Maximum delay before any attempt.
};

/// Delays between attempts to connect to one peer, or between attempts to connect to any of
/// several: exponential backoff with a cap and full jitter, so that daemons that lost their
/// connections at the same time do not reconnect at the same time.
class reconnect_backoff {
 public:
  explicit reconnect_backoff(reconnect_backoff_limits limits = {}) : limits_(limits) {}

  /// Delay before the next attempt: uniform between zero and an upper bound that doubles with each
  /// attempt.
  [[nodiscard]] duration next_delay(random_source& random);

  /// Resets the backoff after a response of the peer; the next delay starts from the base again.
  void succeeded() noexcept { failures_ = 0; }

  /// Attempts since the last success.
  [[nodiscard]] std::uint32_t failures() const noexcept { return failures_; }

 private:
  reconnect_backoff_limits limits_;
  std::uint32_t failures_ = 0;
};

}  // namespace crocusdoor

#pragma once

#include <cstddef>

#include "core/random_source.h"
#include "core/time.h"

namespace crocusdoor {

/// Sizes of a platform read budget.
struct platform_budget_limits {
  double reads_per_second = 1'000.0;  ///< All daemons together; half of what the platform accepts.
  /// Size assumed until the directory knows more. A daemon that has just started knows only itself;
  /// with its own count it would claim the entire budget.
  std::size_t least_instances = 6'000;
  /// Part of the budget that is spread out, so that random clusters stay below the whole.
  double utilisation = 0.8;
};

/// Token bucket of one token for this daemon's reads of the platform. Its rate is this instance's
/// share of the common budget. The first read after an idle time waits a random part of the share's
/// interval, because all daemons can want to read at the same moment.
/// Long polls of the watchers are not counted here: there are two per failure domain.
class platform_budget {
 public:
  explicit platform_budget(platform_budget_limits limits = {}) : limits_(limits) {}

  /// Asks to read now. Returns true once for each granted read; while it returns false, ask again
  /// at `next_read`. `directory_size` is the number of live instances known.
  bool take(std::size_t directory_size, time_point now, random_source& random);

  /// When the waiting read will be granted.
  [[nodiscard]] time_point next_read() const noexcept { return next_read_; }

  /// Time between two reads of one daemon in a mesh of this size.
  [[nodiscard]] duration interval(std::size_t directory_size) const;

 private:
  platform_budget_limits limits_;
  bool waiting_ = false;
  time_point next_read_;  ///< Of the waiting read.
  time_point refilled_;   ///< When the token spent by the last read is back.
};

}  // namespace crocusdoor

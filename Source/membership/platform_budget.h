#pragma once

#include <cstddef>

#include "core/random_source.h"
#include "core/time.h"

namespace crocusdoor {

/// Parameters of the budget for reads of the platform.
struct platform_budget_limits {
  double reads_per_second = 1'000.0;  ///< Of all daemons together; half of the platform's limit.
  /// Minimum number of instances among which the budget is divided. A daemon that has just started
  /// knows only itself; dividing by that count would give it the entire budget.
  std::size_t minimum_instances = 6'000;
  /// Fraction of the budget that is divided among the daemons. The rest is the margin for random
  /// clusters of reads.
  double utilisation = 0.8;
};

/// Token bucket with a capacity of one token for this daemon's reads of the platform. Its rate is
/// this daemon's share of the common budget. The first read after an idle period is delayed by a
/// random part of the interval between two reads, because all daemons may want to read at the same
/// moment. The long polls of the watchers are not counted here: there are only two per failure
/// domain.
class platform_budget {
 public:
  explicit platform_budget(platform_budget_limits limits = {}) : limits_(limits) {}

  /// Requests one read. Returns true once for each granted read; while it returns false, call again
  /// at `next_read`. `directory_size` is the number of live instances in the directory.
  bool take(std::size_t directory_size, time_point now, random_source& random);

  /// When the pending read will be granted.
  [[nodiscard]] time_point next_read() const noexcept { return next_read_; }

  /// Time between two reads of one daemon in a mesh of this size.
  [[nodiscard]] duration interval(std::size_t directory_size) const;

 private:
  platform_budget_limits limits_;
  bool waiting_ = false;
  time_point next_read_;  ///< Of the pending read.
  time_point refill_at_;  ///< When the token of the last read is available again.
};

}  // namespace crocusdoor

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace crocusdoor {

/// Bound on the repeats that all daemons together send to one service.
struct retry_limit {
  double ratio = 0.2;  ///< Repeats for each request.
  double slack = 0;    ///< Repeats on top, over all daemons.
  duration window = std::chrono::seconds(10);
  friend bool operator==(const retry_limit&, const retry_limit&) = default;
};

/// One daemon's share of the repeats to one service, counted over a sliding window. The share is
/// what the daemon's own requests allow and an equal part of the slack, so the bound holds over all
/// daemons without a word between them.
class retry_window {
 public:
  void request_started(time_point now, duration window);
  /// Takes one repeat from the share; false if nothing is left.
  [[nodiscard]] bool take_repeat(const retry_limit& limit, std::size_t daemons, time_point now);
  /// Counts a repeat that happened whatever is left.
  void count_repeat(time_point now, duration window);

 private:
  /// Parts of the window that are counted and expire one by one.
  static constexpr std::size_t part_count = 20;
  struct part {
    std::int64_t index = -1;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };

  part& part_at(time_point now, duration window);
  [[nodiscard]] part sum(time_point now, duration window) const;

  std::array<part, part_count> parts_{};
};

}  // namespace crocusdoor

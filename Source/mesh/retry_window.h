#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace crocusdoor {

/// Upper limit on the repeats that all daemons together send to one service.
struct retry_limit {
  double ratio = 0.2;  ///< Repeats allowed for each request.
  double slack = 0;    ///< Repeats allowed in addition, over all daemons together.
  duration window = std::chrono::seconds(10);
  friend bool operator==(const retry_limit&, const retry_limit&) = default;
};

/// One daemon's share of the repeats to one service, counted over a sliding window. The share is
/// what the daemon's own requests allow plus an equal fraction of the slack, so the limit holds
/// over all daemons without any communication between them.
class retry_window {
 public:
  void request_started(time_point now, duration window);
  /// Takes one repeat from the share; false if nothing is left.
  [[nodiscard]] bool take_repeat(const retry_limit& limit, std::size_t daemons, time_point now);
  /// Counts a repeat that was sent regardless of the limit.
  void count_repeat(time_point now, duration window);

 private:
  /// Number of buckets of the window; each has its own counts and expires on its own.
  static constexpr std::size_t bucket_count = 20;
  struct bucket {
    std::int64_t index = -1;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };

  bucket& bucket_at(time_point now, duration window);
  [[nodiscard]] bucket sum(time_point now, duration window) const;

  std::array<bucket, bucket_count> buckets_{};
};

}  // namespace crocusdoor

#pragma once

#include <chrono>
#include <cstdint>

namespace crocusdoor {

/// Tag of the monotonic clock whose readings callers pass into every decision. The library itself
/// never reads a clock.
struct monotonic_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<monotonic_clock>;
  static constexpr bool is_steady = true;
};

/// Time span in microseconds.
using duration = monotonic_clock::duration;

/// Reading of the monotonic clock of one process; not comparable between processes.
using time_point = monotonic_clock::time_point;

/// Milliseconds since the Unix epoch; comparable between processes up to the clock skew.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Whole milliseconds of a span, for log lines and messages.
[[nodiscard]] constexpr std::int64_t to_ms(duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace crocusdoor

#pragma once

#include <sys/time.h>

#include <algorithm>

#include "core/time.h"

namespace crocusdoor::detail {

/// Converts a duration to the type that libevent uses; negative durations become zero.
inline timeval to_timeval(duration span) {
  const auto count = std::max<duration::rep>(span.count(), 0);
  return {static_cast<time_t>(count / 1'000'000), static_cast<suseconds_t>(count % 1'000'000)};
}

}  // namespace crocusdoor::detail

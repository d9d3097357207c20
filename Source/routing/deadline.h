#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "core/time.h"

namespace crocusdoor {

/// How a deadline shrinks on its way down a call path. A deadline travels as the time left, because
/// clocks of different processes are not comparable.
struct deadline_rule {
  /// Time taken off per hop for the way there and back: without it the answer of the deepest hop
  /// would reach every caller above just after that caller gave up.
  duration transit_allowance = std::chrono::milliseconds(4);
  /// Share of the time left that a hop keeps, so that one hop can still retry elsewhere after the
  /// next has timed out.
  double kept_share = 0.02;

  /// Time left to send with a call; nothing if a call could no longer be answered in time and must
  /// be refused as "not run". Rounded down to milliseconds, the unit of the `call` message.
  [[nodiscard]] std::optional<std::chrono::milliseconds> left_for_next_hop(time_point deadline,
                                                                           time_point now) const {
    const duration left = deadline - now;
    const duration kept = std::max(
        transit_allowance,
        duration(static_cast<duration::rep>(static_cast<double>(left.count()) * kept_share)));
    const auto sent = std::chrono::floor<std::chrono::milliseconds>(left - kept);
    return sent > std::chrono::milliseconds(0) ? std::optional(sent) : std::nullopt;
  }

  /// Deadline on the receiver's clock of a call that arrives with this much time left.
  [[nodiscard]] static time_point on_arrival(std::chrono::milliseconds left, time_point now) {
    return now + std::max(left, std::chrono::milliseconds(0));
  }
};

}  // namespace crocusdoor

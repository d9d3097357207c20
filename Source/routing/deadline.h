#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "core/time.h"

namespace crocusdoor {

/// How a deadline is shortened at each hop of a call path. A deadline is sent as the time left,
/// because clocks of different processes are not comparable.
struct deadline_rule {
  /// Time subtracted at each hop for the transit of the request and its response: without it the
  /// response of the deepest hop would reach every caller above just after its timeout.
  duration transit_allowance = std::chrono::milliseconds(4);
  /// Share of the time left that a hop keeps for itself, so that it can still retry at another
  /// upstream after the next hop has timed out.
  double kept_share = 0.02;

  /// Time left to send with a call; empty if a call could no longer be answered in time and must
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

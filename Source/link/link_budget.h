#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/strong_string.h"
#include "core/time.h"

namespace crocusdoor {

/// Limits of a link budget.
struct link_budget_limits {
  std::size_t links = 512;                   ///< Maximum number of open data links of one daemon.
  duration idle = std::chrono::seconds(60);  ///< A link without a call for this long is closed.
};

/// Tracks the open data links of a daemon and selects those to close. Links with calls in flight
/// are never closed, so the limit is exceeded only while more links than that have calls in flight.
class link_budget {
 public:
  explicit link_budget(link_budget_limits limits = {}) : limits_(limits) {}

  /// Whether another link may be opened. If not, close the links that `to_close` returns first.
  [[nodiscard]] bool may_open() const noexcept { return links_.size() < limits_.links; }

  void opened(const instance_name& peer, time_point now);
  void closed(const instance_name& peer);
  void call_started(const instance_name& peer, time_point now);
  void call_finished(const instance_name& peer, time_point now);

  /// Links to close now: those idle for too long or, if there are none and no further link may be
  /// opened, the least recently used one. Never a link with calls in flight.
  [[nodiscard]] std::vector<instance_name> to_close(time_point now) const;

  [[nodiscard]] std::size_t size() const noexcept { return links_.size(); }

 private:
  struct link {
    std::uint32_t in_flight = 0;
    time_point last_used_at;
  };

  link_budget_limits limits_;
  std::map<instance_name, link> links_;
};

}  // namespace crocusdoor

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/strong_string.h"
#include "core/time.h"

namespace crocusdoor {

/// Sizes and times of a link budget.
struct link_budget_limits {
  std::size_t links = 512;                   ///< Data links of one daemon.
  duration idle = std::chrono::seconds(60);  ///< Longest time without a call.
};

/// Which data links a daemon keeps open. Links with calls in flight are never closed, so the limit
/// is exceeded only while that many calls run.
class link_budget {
 public:
  explicit link_budget(link_budget_limits limits = {}) : limits_(limits) {}

  /// Whether another link may be opened. If not, close `to_close` first.
  [[nodiscard]] bool may_open() const noexcept { return links_.size() < limits_.links; }

  void opened(const instance_name& peer, time_point now);
  void closed(const instance_name& peer);
  void call_started(const instance_name& peer, time_point now);
  void call_finished(const instance_name& peer, time_point now);

  /// Links to close now: those idle for too long and, if no further link could be opened, the one
  /// that was used longest ago. Never a link with calls in flight.
  [[nodiscard]] std::vector<instance_name> to_close(time_point now) const;

  [[nodiscard]] std::size_t size() const noexcept { return links_.size(); }

 private:
  struct link {
    std::uint32_t in_flight = 0;
    time_point used;
  };

  link_budget_limits limits_;
  std::map<instance_name, link> links_;
};

}  // namespace crocusdoor

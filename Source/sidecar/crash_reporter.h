#pragma once

#include <functional>
#include <string>
#include <vector>

#include "sidecar/sidecar_context.h"
#include "sidecar/target_crash_watch.h"

namespace crocusdoor {

/// Turns what a `target_crash_watch` finds out into crash counts, metrics and log lines.
class crash_reporter {
 public:
  /// `changed` is called with crash counts that must be sent to the peers.
  crash_reporter(const sidecar_context& shared,
                 std::function<void(const std::vector<crash_count>&)> changed);

  void suspected(const std::string& target, const lost_exchanges& lost) const;
  void ended(const std::string& target, const lost_exchanges& lost, crash_evidence evidence) const;
  /// Takes back what `suspected` has reported.
  void survived(const std::string& target, const lost_exchanges& lost,
                survival_evidence evidence) const;

 private:
  void count_crashes(const lost_exchanges& lost) const;

  const sidecar_context& shared_;
  std::function<void(const std::vector<crash_count>&)> changed_;
};

}  // namespace crocusdoor

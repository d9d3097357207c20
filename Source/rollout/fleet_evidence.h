#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/strong_string.h"
#include "core/time.h"
#include "rollout/version_comparison.h"
#include "wire/message.h"

namespace crocusdoor {

/// The reports of all daemons on one rollout, added up. A daemon that has restarted begins to count
/// anew; what it had reported before still counts.
class fleet_evidence {
 public:
  void received(const instance_name& from, const wire::rollout_evidence& report, time_point now);

  /// The worse of the judgements over the whole rollout and over the last seconds.
  [[nodiscard]] version_judgement judge(time_point now);
  /// Requests that were sent to the new version.
  [[nodiscard]] std::uint64_t exposure() const;
  /// Requests at both versions.
  [[nodiscard]] std::uint64_t requests() const;
  /// Requests a second at both versions over the last seconds; 0 if it is not known yet.
  [[nodiscard]] double rate() const;
  /// Bad responses of the new version, for log lines.
  [[nodiscard]] std::uint64_t bad_responses() const;

  [[nodiscard]] std::size_t reports_since(time_point earliest) const;
  /// Whether all these daemons have reported since `earliest` that they hold this share, with no
  /// request in flight at the version that it excludes. Daemons that do not report are left out if
  /// `silent_allowed` is set.
  [[nodiscard]] bool settled(const std::vector<instance_name>& daemons, std::int32_t permille,
                             time_point earliest, bool silent_allowed) const;

 private:
  struct daemon_report {
    wire::rollout_evidence latest;
    std::uint64_t earlier_sent = 0;  ///< Before its restarts.
    version_outcome_map earlier;     ///< Before its restarts.
    time_point received_at{};
  };
  struct snapshot {
    time_point taken_at;
    version_outcome_map outcomes;
    std::uint64_t observed = 0;
  };

  [[nodiscard]] version_outcome_map totals() const;

  std::map<instance_name, daemon_report> reports_;
  std::deque<snapshot> history_;
  /// Requests that ended between two reports of a daemon. The first report to a successor contains
  /// all requests since the order, which says nothing about the rate.
  std::uint64_t observed_ = 0;
};

}  // namespace crocusdoor

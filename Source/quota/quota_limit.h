#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/time.h"
#include "mesh/mesh_configuration.h"

namespace crocusdoor {

/// Number of parts into which the workspaces are divided; each part has a coordinator of its own.
inline constexpr std::int32_t quota_parts = 3;

/// Bits of the sequence number of a report that count the reports of one process; the others
/// identify the process.
inline constexpr unsigned quota_sequence_bits = 20;

/// What the platform counts against the quota of a workspace.
struct quota_bounds {
  duration window = std::chrono::seconds(5);  ///< Time over which the requests are counted.
  double overage = 0;  ///< Fraction by which a quota may be exceeded in one window.
  double slack = 0;    ///< Requests by which a quota may be exceeded in addition.
  friend bool operator==(const quota_bounds&, const quota_bounds&) = default;
};

/// Limit on the requests of one workspace, over all daemons together.
struct quota_limit {
  double rate_per_s = 0;
  double capacity = 0;  ///< Upper bound of the tokens that exist at the same time.
  friend bool operator==(const quota_limit&, const quota_limit&) = default;
};

using quota_limits = std::map<workspace_name, quota_limit>;

/// Requests that may run within one window, over all daemons together.
[[nodiscard]] double window_limit(const mesh_workspace& workspace, const quota_bounds& bounds);

/// Limits of the workspaces that have a rate.
[[nodiscard]] quota_limits limits_of(const mesh_configuration& configuration,
                                     const quota_bounds& bounds);

/// Part that a workspace belongs to.
[[nodiscard]] std::int32_t part_of(const workspace_name& workspace);

/// Coordinator of a part among the daemons given, at least one.
[[nodiscard]] instance_name quota_coordinator(std::int32_t part,
                                              std::vector<instance_name> daemons);

/// Interval of the reports of a daemon that uses tokens. It grows with the number of daemons, so
/// that the messages at a coordinator stay below about 300 a second.
[[nodiscard]] duration report_interval(std::size_t daemons);

/// Time for which a report hands the daemon's share over.
[[nodiscard]] duration report_validity(std::size_t daemons);

}  // namespace crocusdoor

#include "quota/quota_limit.h"

#include <algorithm>
#include <string>
#include <utility>

#include "core/digest.h"
#include "core/rendezvous_hash.h"

namespace crocusdoor {

namespace {

/// Part of the tolerated excess that is used. The rest covers requests that reach their targets
/// later than they were counted, and daemons that know different numbers of daemons.
constexpr double used_excess = 0.6;
constexpr duration minimum_interval = std::chrono::milliseconds(500);
constexpr duration interval_per_daemon = std::chrono::milliseconds(8);
/// An idle daemon reports at two intervals; the third one covers delays.
constexpr int validity_intervals = 3;

double tokens_of_window(const mesh_workspace& workspace, const quota_bounds& bounds) {
  const double window_s = std::chrono::duration<double>(bounds.window).count();
  return workspace.rate_per_s * window_s + workspace.burst;
}

}  // namespace

double window_limit(const mesh_workspace& workspace, const quota_bounds& bounds) {
  return tokens_of_window(workspace, bounds) * (1 + bounds.overage) + bounds.slack;
}

quota_limits limits_of(const mesh_configuration& configuration, const quota_bounds& bounds) {
  quota_limits limits;
  for (const mesh_workspace& workspace : configuration.workspaces) {
    if (workspace.rate_per_s > 0) {
      const double excess = window_limit(workspace, bounds) - tokens_of_window(workspace, bounds);
      limits[workspace.name] = {workspace.rate_per_s, workspace.burst + used_excess * excess};
    }
  }
  return limits;
}

std::int32_t part_of(const workspace_name& workspace) {
  return static_cast<std::int32_t>(stable_hash(workspace.str()) % quota_parts);
}

instance_name quota_coordinator(std::int32_t part, std::vector<instance_name> daemons) {
  return top_by_rendezvous("quota-" + std::to_string(part), std::move(daemons), 1).front();
}

duration report_interval(std::size_t daemons) {
  return std::max(minimum_interval, interval_per_daemon * static_cast<duration::rep>(daemons));
}

duration report_validity(std::size_t daemons) {
  return report_interval(daemons) * validity_intervals;
}

}  // namespace crocusdoor

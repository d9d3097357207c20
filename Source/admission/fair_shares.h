#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "mesh/mesh_configuration.h"

namespace crocusdoor {

/// Shares the slots of a target among workspaces: weighted fair queueing with equal weights.
///
/// Each request gets the virtual time at which its workspace would have been served if all
/// workspaces were served in turn. The virtual time advances with the requests that start, so a
/// workspace that was idle does not collect a claim, and one with many requests waits behind those
/// with few. Requests of one turn are not ordered among each other.
class fair_shares {
 public:
  /// Workspaces compete with each other only at the same ranks: those of workspace and route.
  using ranks = std::pair<std::int32_t, std::int32_t>;

  /// Turn of the next request of a workspace, without counting it.
  [[nodiscard]] std::int64_t turn(const ranks& level, const workspace_name& workspace) const;
  /// Counts a request that waits. Returns its turn.
  std::int64_t add(const ranks& level, const workspace_name& workspace);
  /// A request of a turn that `add` has returned starts.
  void started(const ranks& level, std::int64_t turn);
  /// A request that was counted does not start.
  void removed(const ranks& level, const workspace_name& workspace);
  /// Forgets all workspaces, because no request waits.
  void clear() { levels_.clear(); }

 private:
  struct level_state {
    std::int64_t now = 0;                         ///< Virtual time, in requests of each workspace.
    std::map<workspace_name, std::int64_t> next;  ///< Virtual time of the next request.
  };

  [[nodiscard]] static std::int64_t next_of(const level_state& level,
                                            const workspace_name& workspace);

  std::map<ranks, level_state> levels_;
};

}  // namespace crocusdoor

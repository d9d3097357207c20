#pragma once

#include <functional>
#include <map>
#include <vector>

#include "rollout/rollout_run.h"
#include "rollout/rollout_table.h"

namespace crocusdoor {

/// All rollouts at the deciding daemon: which orders are new, which are known from before and which
/// have ended, and what is sent and written for them.
class rollout_decider {
 public:
  /// What the deciding daemon sees of the fleet.
  struct surroundings {
    std::vector<instance_name> daemons;  ///< With a link, and this one.
    std::function<rollout_capacity(const service_name&, const std::string& version)> capacity;
  };
  struct actions {
    std::vector<wire::rollout_state> states;  ///< For all daemons, including this one.
    std::vector<rollout_status_write> writes;
  };

  explicit rollout_decider(exposure_bound bound) : bound_(bound) {}

  /// Whether a daemon with these links decides: it is the first of them, and they are more than
  /// half of the known daemons.
  [[nodiscard]] static bool decides(const instance_name& self,
                                    const std::vector<instance_name>& linked,
                                    std::size_t known_daemons);

  /// An order was read from the store; `held` is what this daemon knows of its service.
  void order_read(const rollout_order& order, std::uint64_t era,
                  const rollout_table::held_rollout* held, time_point now);
  void evidence_received(const instance_name& from, const wire::rollout_evidence& report,
                         time_point now);
  [[nodiscard]] actions decide(const surroundings& seen, time_point now);
  void status_written(const rollout_status_write& write, bool done, std::uint64_t revision);
  /// This daemon decides no longer.
  void clear() { runs_.clear(); }

  [[nodiscard]] rollout_run* find(const service_name& service);
  [[nodiscard]] bool empty() const noexcept { return runs_.empty(); }

 private:
  struct known_run {
    rollout_run run;
    std::uint64_t era;  ///< Of the store when the order was read last.
  };

  [[nodiscard]] static rollout_run::start begin(const rollout_order& order,
                                                const rollout_table::held_rollout* held,
                                                time_point now);

  exposure_bound bound_;
  std::map<service_name, known_run> runs_;
};

}  // namespace crocusdoor

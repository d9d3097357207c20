#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "core/strong_string.h"
#include "core/time.h"
#include "mesh/version_rule.h"
#include "rollout/version_comparison.h"
#include "wire/message.h"

namespace crocusdoor {

/// Daemon that decides on all rollouts, as seen from one with these links: the first of `members`
/// by rendezvous hash.
[[nodiscard]] instance_name first_decider(std::vector<instance_name> members);

/// The rollouts that one daemon knows of. It decides which version each request of this daemon may
/// use, and counts the requests and their outcomes.
class rollout_table {
 public:
  struct held_rollout {
    wire::rollout_state state;
    instance_name sender;  ///< Of the state.
    time_point valid_until{};
    time_point deadline{};  ///< Of the order.
  };

  /// Adopts a state unless it is older than the one held, or the sender's rank is lower than that
  /// of the sender of a state that is still valid. Returns whether the phase or the order changed.
  bool receive(const instance_name& from, const wire::rollout_state& state, time_point now);
  [[nodiscard]] const held_rollout* find(const service_name& service) const;
  /// The states held, with the time that is left, for a peer that may not know them.
  [[nodiscard]] std::vector<wire::rollout_state> states(time_point now) const;

  /// The rule for one attempt of a request. A request gets a first attempt at the new version in
  /// proportion to the share; until the share is full, others go to the old version.
  [[nodiscard]] version_rule rule(const service_name& service, const std::string& work_class,
                                  bool first_attempt, time_point now, random_source& random);
  /// Rule for a request whose first attempt found no upstream of the new version.
  [[nodiscard]] static version_rule old_version_rule(const version_rule& rule);

  // Each attempt is counted from its start to its end, also without a rollout: requests that run
  // at the old version may have begun before the order.
  void attempt_started(const service_name& service, const std::string& version);
  void attempt_ended(const service_name& service, const std::string& version);
  /// An attempt has run, or failed at the target. `comparable` is false if its time says nothing
  /// about the version, for example because the upstream was warming up.
  void outcome_observed(const service_name& service, const std::string& version,
                        const std::string& work_class, bool failed, duration time, bool comparable);
  /// An attempt was given up without a response, after this time.
  void attempt_abandoned(const service_name& service, const std::string& version,
                         const std::string& work_class, bool deadline_passed, duration time);

  [[nodiscard]] wire::rollout_evidence evidence(const service_name& service, time_point now) const;

 private:
  struct service_rollout {
    held_rollout held;
    bool was_full = false;  ///< Whether the latest share was all requests.
    std::uint64_t sent = 0;
    version_outcome_map outcomes;
    std::map<std::string, double> credits;  ///< First attempts owed to the new version, by class.
  };

  [[nodiscard]] static std::int32_t current_permille(const held_rollout& held, time_point now);
  [[nodiscard]] static bool is_slow(const outcome_totals& usual, duration time);
  [[nodiscard]] service_rollout* find_running(const service_name& service);

  std::map<service_name, service_rollout> rollouts_;
  /// Attempts in flight, by service and version.
  std::map<service_name, std::map<std::string, std::uint64_t>> running_;
};

}  // namespace crocusdoor

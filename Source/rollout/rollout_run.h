#pragma once

#include <optional>
#include <vector>

#include "rollout/fleet_evidence.h"
#include "rollout/rollout_order.h"
#include "rollout/share_plan.h"

namespace crocusdoor {

/// Upstreams of a service, as the deciding daemon sees them.
struct rollout_capacity {
  std::int32_t old_slots = 0;
  std::int32_t new_slots = 0;  ///< Of upstreams that have warmed up.
};

/// One rollout at the deciding daemon.
class rollout_run {
 public:
  struct start {
    rollout_order order;
    std::uint64_t id = 0;  ///< Revision by which daemons order the orders.
    wire::rollout_phase phase = wire::rollout_phase::running;
    time_point deadline;
    /// Whether another daemon has decided before. The share is then zero until its exposure is
    /// known from the reports of the others.
    bool taken_over = false;
    std::int32_t permille = 0;  ///< Share that the other daemon had reached.
  };

  rollout_run(start beginning, exposure_bound bound, time_point now);

  [[nodiscard]] const rollout_order& order() const noexcept { return order_; }
  [[nodiscard]] std::uint64_t id() const noexcept { return id_; }
  [[nodiscard]] wire::rollout_phase phase() const noexcept { return phase_; }
  [[nodiscard]] fleet_evidence& evidence() noexcept { return evidence_; }
  [[nodiscard]] const version_judgement& judgement() const noexcept { return judgement_; }

  /// The object in the store has changed: its revision, or the status that another daemon has
  /// written.
  void order_read(const rollout_order& order);
  /// Decides anew. `daemons` are those with a link, and this one.
  void decide(const std::vector<instance_name>& daemons, const rollout_capacity& capacity,
              time_point now);
  /// The state to be sent, if it is due.
  [[nodiscard]] std::optional<wire::rollout_state> state_to_send(time_point now);
  /// The status to be written, if it is due.
  [[nodiscard]] std::optional<rollout_status_write> status_to_write(time_point now);
  /// The end of a write. `revision` is that of the object now; 0 if it is not known.
  void status_written(const rollout_status& written, bool done, std::uint64_t revision);

 private:
  void set_phase(wire::rollout_phase phase);
  void decide_share(const std::vector<instance_name>& daemons, const rollout_capacity& capacity,
                    time_point now);

  rollout_order order_;
  std::uint64_t id_;
  wire::rollout_phase phase_;
  share_plan plan_;
  fleet_evidence evidence_;
  version_judgement judgement_;
  bool taken_over_;
  std::int32_t permille_before_;  ///< Of the daemon that decided before.
  time_point began_at_;
  std::int32_t permille_ = 0;
  bool completing_ = false;  ///< `completed` may have been written.
  bool settled_ = false;     ///< The end may be written.
  bool writing_ = false;
  bool urgent_ = true;  ///< The state has changed since it was sent.
  time_point sent_at_{};
  time_point write_again_at_{};
  std::optional<time_point> ended_at_;     ///< When the store had the end.
  std::optional<time_point> excluded_at_;  ///< When the share became zero for good.
};

}  // namespace crocusdoor

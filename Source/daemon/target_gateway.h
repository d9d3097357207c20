#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "admission/admission_controller.h"
#include "configuration/snapshot.h"
#include "daemon/daemon_context.h"
#include "daemon/hop_span.h"
#include "daemon/target_client.h"
#include "link/request_ledger.h"
#include "suspicion/crash_suspicions.h"
#include "wire/message.h"

namespace crocusdoor {

/// The target side: checks, admits and runs the calls for the target beside this daemon.
class target_gateway {
 public:
  struct handlers {
    std::function<snapshot_pointer()> current_snapshot;
    /// Waits for a configuration version and tells whether it was reached.
    std::function<void(version_number, std::function<void(bool)>)> catch_up;
    std::function<void(const instance_name& to, const wire::call_answer&)> send_answer;
    /// Records what became of a run-once request that was sent to the target.
    std::function<void(const claim&, verdict, std::optional<recorded_answer>)> complete_claim;
    std::function<void(const std::vector<crash_report>&)> spread_suspicions;
    std::function<void(bool ready)> readiness_changed;
  };

  target_gateway(const daemon_context& shared, crash_suspicions& suspicions, handlers callbacks);

  /// Takes a call whose sender holds `sender_version`. Every call gets exactly one answer, through
  /// `send_answer`.
  void receive(const instance_name& from, version_number sender_version, const wire::call& request);
  void cancel(const instance_name& from, std::uint64_t sender_incarnation, wire::request_id id);
  /// A link to a peer is lost. The peer gives up its idempotent calls then, and asks over another
  /// link what became of the others.
  void link_lost(const instance_name& peer, std::uint64_t link);
  [[nodiscard]] wire::call_status_answer status(const instance_name& from,
                                                const wire::call_status& query);

  void begin_drain();
  /// Whether a drain has begun and nothing runs or waits any more.
  [[nodiscard]] bool drained() const;
  [[nodiscard]] bool draining() const noexcept { return draining_; }
  [[nodiscard]] load_report load() const { return admission_.load(); }
  [[nodiscard]] bool target_ready() const noexcept { return ready_; }

 private:
  struct work;
  using work_pointer = std::shared_ptr<work>;

  void check(const work_pointer& one);
  [[nodiscard]] std::string reason_to_refuse(const work_pointer& one) const;
  [[nodiscard]] std::string claim_problem(const wire::call& request) const;
  void admit(const work_pointer& one);
  void run(const work_pointer& one);
  void target_answered(const work_pointer& one, wire::call_answer answer, bool connection_lost);
  void apply(const admission_changes& changes);
  void refuse(const work_pointer& one, const std::string& reason, duration retry_after);
  void answer(const work_pointer& one, wire::call_answer value);
  void abandon(const work_pointer& one, const std::string& reason);
  void report_crash(const work_pointer& one);
  void probe_target();
  void set_ready(bool ready);
  void tick();

  const daemon_context& shared_;
  crash_suspicions& suspicions_;
  handlers callbacks_;
  target_client target_;
  admission_controller admission_;
  request_ledger ledger_;
  std::map<admission_ticket, work_pointer> admitted_;
  admission_ticket next_ticket_ = 1;
  std::uint64_t crashes_ = 0;
  time_point last_crash_at_{};
  bool draining_ = false;
  bool ready_ = false;
  int failed_probes_ = 0;
  time_point target_heard_at_{};
  timer_handle tick_timer_;
  timer_handle probe_timer_;
};

}  // namespace crocusdoor

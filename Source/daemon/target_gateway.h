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

/// The receiving side of calls: checks, admits and runs the calls for this daemon's own target.
class target_gateway {
 public:
  struct handlers {
    std::function<snapshot_pointer()> current_snapshot;
    /// Waits until the current configuration version is at least the given one, for a limited time;
    /// the callback gets whether it was reached.
    std::function<void(version_number, std::function<void(bool)>)> catch_up;
    std::function<void(const instance_name& to, const wire::call_answer&)> send_response;
    /// Records the outcome of a run-once request that was sent to the target.
    std::function<void(const claim&, verdict, std::optional<recorded_response>)> complete_claim;
    std::function<void(const std::vector<crash_report>&)> broadcast_suspicions;
    std::function<void(bool ready)> readiness_changed;
  };

  target_gateway(const daemon_context& shared, crash_suspicions& suspicions, handlers callbacks);

  /// Accepts a call whose sender reported configuration version `sender_version`. Every call except
  /// a duplicate gets exactly one response, through `send_response`.
  void receive(const instance_name& from, version_number sender_version, const wire::call& request);
  void cancel(const instance_name& from, std::uint64_t sender_incarnation, wire::request_id id);
  /// A link to a peer was lost. The peer then no longer waits for its idempotent calls, and queries
  /// the status of the others over another link.
  void link_lost(const instance_name& peer, std::uint64_t link);
  [[nodiscard]] wire::call_status_answer status(const instance_name& from,
                                                const wire::call_status& query);

  void begin_drain();
  /// Whether a drain has begun and no admitted request is running or queued.
  [[nodiscard]] bool drained() const;
  [[nodiscard]] bool draining() const noexcept { return draining_; }
  [[nodiscard]] load_report load() const { return admission_.load(); }
  [[nodiscard]] bool target_ready() const noexcept { return ready_; }

 private:
  struct received_call;
  using call_pointer = std::shared_ptr<received_call>;

  void admit_or_refuse(const call_pointer& call);
  [[nodiscard]] std::string refusal_reason(const call_pointer& call) const;
  [[nodiscard]] std::string claim_problem(const wire::call& request) const;
  void admit(const call_pointer& call);
  void run(const call_pointer& call);
  void target_responded(const call_pointer& call, wire::call_answer response, bool connection_lost);
  void apply(const admission_changes& changes);
  void refuse(const call_pointer& call, const std::string& reason, duration retry_after);
  void respond(const call_pointer& call, wire::call_answer response);
  void abandon(const call_pointer& call, const std::string& reason);
  void report_crash(const call_pointer& call);
  void probe_target();
  void set_ready(bool ready);
  void tick();

  const daemon_context& shared_;
  crash_suspicions& suspicions_;
  handlers callbacks_;
  target_client target_;
  admission_controller admission_;
  request_ledger ledger_;
  std::map<admission_ticket, call_pointer> admitted_;
  admission_ticket next_ticket_ = 1;
  std::uint64_t crashes_ = 0;
  time_point last_crash_at_{};
  bool draining_ = false;
  bool ready_ = false;
  int failed_probes_ = 0;
  time_point last_target_response_at_{};
  timer_handle tick_timer_;
  timer_handle probe_timer_;
};

}  // namespace crocusdoor

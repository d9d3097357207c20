#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "link/request_ledger.h"
#include "mesh/failure_share.h"
#include "mesh/route_table.h"
#include "mesh/slot_queue.h"
#include "mesh/target_answer.h"
#include "mesh/target_registry.h"
#include "sidecar/sidecar_context.h"
#include "transport/http_client.h"

namespace crocusdoor {

/// The target side: admits the requests for the target beside this daemon and runs them there.
/// Every request gets exactly one answer.
class inbound_gateway {
 public:
  struct handlers {
    std::function<void(const instance_name& to, const wire::call_answer&)> send_answer;
    /// The target has come, gone or begun to leave.
    std::function<void()> status_changed;
    /// The target has said that it goes.
    std::function<void(const target_departure&)> departed;
    std::function<route_table_pointer()> configuration;
  };

  inbound_gateway(const sidecar_context& shared, handlers callbacks);

  void receive(const instance_name& from, const wire::call& request);
  void cancel(const instance_name& from, std::uint64_t sender_incarnation, wire::request_id id);
  /// The last link to a peer is lost.
  void peer_lost(const instance_name& peer);
  [[nodiscard]] wire::call_status_answer status(const instance_name& from,
                                                const wire::call_status& query);

  announcement_result announce(const target_announcement& said);
  announcement_result withdraw(const target_withdrawal& said);
  /// A peer has kept the departure of the target from before a restart of this daemon.
  void recall(const target_departure& known);
  /// Asks the target whether it is there, unless a heartbeat has arrived.
  void look_for_target();

  [[nodiscard]] bool takes_requests() const { return registry_.takes_requests(); }
  [[nodiscard]] const target_registry& registry() const noexcept { return registry_; }
  [[nodiscard]] load_report load() const;
  /// Requests that wait or run.
  [[nodiscard]] std::size_t active() const noexcept { return work_.size(); }
  [[nodiscard]] std::uint64_t connections_opened() const { return target_.connections_opened(); }

 private:
  struct work;
  using work_pointer = std::shared_ptr<work>;

  void run(const work_pointer& one);
  [[nodiscard]] std::string attempt_id_of(const wire::call& request) const;
  [[nodiscard]] http_request outgoing_request(const work_pointer& one) const;
  [[nodiscard]] target_exchange classify(const http_result& result) const;
  void target_answered(const work_pointer& one, const http_result& result);
  void note_lost_target(target_exchange end);
  void apply(const slot_changes& changes);
  void refuse(const work_pointer& one, const std::string& reason, duration retry_after);
  void answer(const work_pointer& one, wire::call_answer value);
  void target_changed();
  void tell_departure();
  void tick();

  const sidecar_context& shared_;
  handlers callbacks_;
  target_registry registry_;
  slot_queue queue_;
  request_ledger ledger_;
  failure_share failures_;
  http_client target_;
  http_client prober_;
  std::map<std::uint64_t, work_pointer> work_;
  std::uint64_t next_ticket_ = 1;
  bool takes_requests_ = false;
  std::optional<target_departure> told_departure_;
  time_point heard_at_{};  ///< Last heartbeat or answer of the target.
  timer_handle tick_timer_;
  timer_handle ledger_timer_;
};

}  // namespace crocusdoor

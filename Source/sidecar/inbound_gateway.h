#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "mesh/route_table.h"
#include "mesh/target_answer.h"
#include "mesh/target_registry.h"
#include "sidecar/inbound_work.h"
#include "sidecar/sidecar_context.h"
#include "transport/http_client.h"

namespace crocusdoor {

/// The target side: knows the target beside this daemon and runs the admitted requests there.
class inbound_gateway {
 public:
  struct handlers {
    std::function<void(const instance_name& to, const wire::call_answer&)> send_answer;
    /// Takes in what the sender of a request has sent already; whether the link that brought the
    /// request is still open.
    std::function<bool(const inbound_request&)> hear_sender;
    /// The target has come, gone or begun to leave.
    std::function<void()> status_changed;
    /// The target has said that it goes.
    std::function<void(const target_departure&)> departed;
    std::function<route_table_pointer()> configuration;
  };

  inbound_gateway(const sidecar_context& shared, handlers callbacks);

  /// The requests for the target.
  [[nodiscard]] inbound_work& work() noexcept { return work_; }
  [[nodiscard]] const inbound_work& work() const noexcept { return work_; }

  announcement_result announce(const target_announcement& said);
  announcement_result withdraw(const target_withdrawal& said);
  /// A peer has kept the departure of the target from before a restart of this daemon.
  void recall(const target_departure& known);
  /// Asks the target whether it is there, unless a heartbeat has arrived.
  void look_for_target();

  [[nodiscard]] bool takes_requests() const { return registry_.takes_requests(); }
  [[nodiscard]] const target_registry& registry() const noexcept { return registry_; }
  [[nodiscard]] std::uint64_t connections_opened() const { return target_.connections_opened(); }

 private:
  [[nodiscard]] std::string reason_to_refuse(const service_name& service) const;
  void run(const inbound_request_pointer& one);
  void stop(std::uint64_t ticket);
  [[nodiscard]] http_request outgoing_request(const inbound_request& one) const;
  [[nodiscard]] target_exchange classify(const http_result& result) const;
  void target_answered(const inbound_request_pointer& one, const http_result& result);
  void note_lost_target(target_exchange end);
  void target_changed();
  void tell_departure();
  void tick();

  const sidecar_context& shared_;
  handlers callbacks_;
  target_registry registry_;
  inbound_work work_;
  http_client target_;
  http_client prober_;
  std::map<std::uint64_t, http_call> exchanges_;  ///< With the target, by ticket.
  bool takes_requests_ = false;
  std::optional<target_departure> told_departure_;
  time_point heard_at_{};  ///< Last heartbeat or answer of the target.
  timer_handle tick_timer_;
};

}  // namespace crocusdoor

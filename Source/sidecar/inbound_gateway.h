#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "mesh/route_table.h"
#include "mesh/target_exchange.h"
#include "mesh/target_registry.h"
#include "sidecar/crash_reporter.h"
#include "sidecar/inbound_work.h"
#include "sidecar/sidecar_context.h"
#include "sidecar/target_crash_watch.h"
#include "transport/http_client.h"

namespace crocusdoor {

/// Tracks the state of the target beside this daemon and runs admitted requests on it.
class inbound_gateway {
 public:
  struct handlers {
    std::function<void(const instance_name& to, const wire::call_answer&)> send_response;
    /// Reads and handles all messages that the sender of a request has already sent. Returns
    /// whether the link over which the request arrived is still open.
    std::function<bool(const inbound_request&)> read_from_sender;
    /// Asks the sender of a call for the next part of its body.
    std::function<void(const instance_name& from, const wire::body_request&)> request_body;
    /// The target has become available, has gone or has begun to leave.
    std::function<void()> status_changed;
    /// A departure of the target has been announced or restored.
    std::function<void(const target_departure&)> target_departed;
    std::function<route_table_pointer()> configuration;
    /// The crash counts of requests have changed here and must be sent to the peers.
    std::function<void(const std::vector<crash_count>&)> crash_counts_changed;
  };

  inbound_gateway(const sidecar_context& shared, handlers callbacks);

  /// The requests for the target.
  [[nodiscard]] inbound_work& work() noexcept { return work_; }
  [[nodiscard]] const inbound_work& work() const noexcept { return work_; }

  /// Passes a part of the body of a running request to the target.
  void body_received(const instance_name& from, const wire::body_part& part);

  announcement_result announce(const target_announcement& announcement);
  announcement_result withdraw(const target_withdrawal& withdrawal);
  /// Restores a departure of the target that a peer or the store has kept since before a restart of
  /// this daemon.
  void restore_departure(const target_departure& departure);
  /// Calls `ended` if nobody listens at the target's address.
  void check_target_ended(std::function<void()> ended);
  /// Sends a health request to the target, unless a target is already registered.
  void probe_target();

  [[nodiscard]] bool takes_requests() const { return registry_.takes_requests(); }
  [[nodiscard]] const target_registry& registry() const noexcept { return registry_; }
  [[nodiscard]] std::uint64_t connections_opened() const { return target_.connections_opened(); }

 private:
  /// A request that runs on the target.
  struct running_exchange {
    http_call call;
    /// Counts of the request when it began to run; empty while no crash is known to this daemon,
    /// when all of them are zero.
    std::vector<crash_count> known;
    std::uint64_t body_bytes = 0;    ///< Of a body that follows, received so far.
    std::uint64_t target_start = 0;  ///< `born_ms` of the target; 0 if it is not known.
  };

  [[nodiscard]] inbound_refusal check(const inbound_request& request) const;
  void run(const inbound_request_pointer& request);
  /// How the body of a request is written that follows its call; empty for other requests.
  [[nodiscard]] std::optional<request_body_stream> body_stream(
      const inbound_request_pointer& request);
  void request_body(const inbound_request& request);
  void cancel_exchange(std::uint64_t ticket);
  [[nodiscard]] http_request outgoing_request(const inbound_request& request) const;
  /// The counts of a request now; empty while no crash is known.
  [[nodiscard]] std::vector<crash_count> counts_at_start(const inbound_request& request) const;
  [[nodiscard]] target_exchange classify(const http_result& result) const;
  void exchange_ended(const inbound_request_pointer& request, const http_result& result);
  [[nodiscard]] std::vector<crash_count> known_crashes(const inbound_request& request,
                                                       const running_exchange& ended) const;
  void forget_lost_target(target_exchange end);
  /// Resets the crash count of a request that the target has run to its end.
  void request_completed(const inbound_request& request);
  void target_ended(const lost_exchanges& lost, crash_evidence evidence);
  /// Id of the registered target; empty if there is none.
  [[nodiscard]] std::string target_id() const;
  void target_changed();
  void report_departures();
  void check_target_silence();

  const sidecar_context& shared_;
  handlers callbacks_;
  target_registry registry_;
  inbound_work work_;
  http_client target_;
  http_client prober_;
  crash_reporter crash_reporter_;
  target_crash_watch crash_watch_;
  std::map<std::uint64_t, running_exchange> exchanges_;  ///< Exchanges with the target, by ticket.
  bool takes_requests_ = false;
  std::string version_;  ///< Of the target, as reported last.
  target_departures reported_departures_;
  probe_handle end_probe_;
  time_point last_seen_at_{};  ///< Last heartbeat or response of the target.
  timer_handle silence_timer_;
};

}  // namespace crocusdoor

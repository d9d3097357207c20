#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/metrics.h"
#include "link/request_ledger.h"
#include "mesh/failure_share.h"
#include "mesh/slot_queue.h"
#include "sidecar/decision_log.h"
#include "transport/timer_service.h"

namespace crocusdoor {

/// A call for the target beside this daemon.
struct inbound_request {
  instance_name from;
  wire::call call;
  time_point deadline;
  std::uint64_t ticket = 0;
  std::optional<time_point> started_at;  ///< When it was handed to the target.
};

using inbound_request_pointer = std::shared_ptr<const inbound_request>;

/// The calls that wait for the target beside this daemon or run there. Each gets exactly one
/// answer, which is kept for a sender that asks again after a lost link.
///
/// A call starts only after everything that its sender has sent has been read: a loop that stood
/// still may read a call long after it was sent, with its cancellation behind it.
class inbound_work {
 public:
  struct context {
    timer_service& timers;
    decision_log& log;
    metrics& counters;
    /// Header with the caller's id of the request, for log lines.
    std::string attempt_id_header;
  };

  struct handlers {
    /// Why the target cannot take a request for a service now; empty if it can.
    std::function<std::string(const service_name&)> reason_to_refuse;
    /// Takes in what the sender of a request has sent already; whether the link that brought the
    /// request is still open.
    std::function<bool(const inbound_request&)> hear_sender;
    /// Hands a request to the target; `finish` takes the answer.
    std::function<void(const inbound_request_pointer&)> start;
    /// Gives up what was handed to the target.
    std::function<void(std::uint64_t ticket)> stop;
    std::function<void(const instance_name& to, const wire::call_answer&)> send_answer;
  };

  inbound_work(context shared, handlers callbacks);

  void receive(const instance_name& from, const wire::call& request);
  void cancel(const instance_name& from, std::uint64_t sender_incarnation, wire::request_id id);
  /// A peer has a link; the requests of earlier processes of it have nobody who waits for them.
  void peer_established(const instance_name& peer, std::uint64_t incarnation);
  /// A link to a peer is lost. The peer gives up its idempotent calls then, and asks over another
  /// link what became of the others.
  void link_lost(const instance_name& peer, std::uint64_t link);
  [[nodiscard]] wire::call_status_answer status(const instance_name& from,
                                                const wire::call_status& query);

  /// The target has answered, or the exchange with it has ended otherwise.
  void finish(const inbound_request_pointer& one, wire::call_answer value, bool failed);

  /// The process ends then, so that requests with later deadlines are refused.
  void end_at(time_point when) { ends_at_ = when; }
  void set_slots(std::int32_t slots);
  /// Refuses the waiting requests because the target leaves.
  void refuse_waiting();

  [[nodiscard]] std::string attempt_id_of(const inbound_request& one) const;
  [[nodiscard]] load_report load() const;
  /// Requests that wait or run.
  [[nodiscard]] std::size_t active() const noexcept { return requests_.size(); }
  [[nodiscard]] std::size_t queued() const noexcept { return queue_.queued(); }
  [[nodiscard]] std::size_t slots_in_use() const noexcept { return queue_.slots_in_use(); }

 private:
  using request_pointer = std::shared_ptr<inbound_request>;

  [[nodiscard]] request_pointer find(const instance_name& from, std::uint64_t sender_incarnation,
                                     wire::request_id id) const;
  void apply(const slot_changes& changes);
  void start_admitted();
  void start(const request_pointer& one, bool link_open);
  void abandon_all(const instance_name& peer, const std::string& reason,
                   const std::function<bool(const wire::call&)>& concerned);
  /// Ends a request for which nobody waits any more, unless it runs and may run only once: its
  /// effect is worth more than the slot.
  void abandon(const request_pointer& one, const std::string& reason);
  /// Takes back a request that has not been handed to the target, and refuses it.
  void drop(const request_pointer& one, const std::string& reason, duration retry_after);
  void refuse(const request_pointer& one, const std::string& reason, duration retry_after);
  void answer(const inbound_request& one, wire::call_answer value);

  context shared_;
  handlers callbacks_;
  slot_queue queue_;
  request_ledger ledger_;
  failure_share failures_;
  std::map<std::uint64_t, request_pointer> requests_;
  std::deque<std::uint64_t> admitted_;  ///< Have a slot and start next.
  timer_handle start_timer_;
  std::uint64_t next_ticket_ = 1;
  std::optional<time_point> ends_at_;
  timer_handle queue_timer_;
  timer_handle ledger_timer_;
};

}  // namespace crocusdoor

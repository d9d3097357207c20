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
#include "daemon/request_identity.h"
#include "link/request_ledger.h"
#include "mesh/failure_share.h"
#include "mesh/slot_queue.h"
#include "sidecar/decision_log.h"
#include "transport/timer_service.h"

namespace crocusdoor {

/// A call to the target beside this daemon.
struct inbound_request {
  instance_name from;
  wire::call call;
  request_identity identity;  ///< Of `call`.
  time_point deadline;
  std::uint64_t ticket = 0;
  std::optional<time_point> started_at;  ///< When it was sent to the target.
  bool body_complete = true;             ///< Whether all of a body that follows has arrived.
};

/// Delay before a caller may try again at another target.
inline constexpr duration default_refusal_retry_after = std::chrono::milliseconds(100);

/// Why a request is not run; an empty reason if it may run.
struct inbound_refusal {
  std::string reason;
  duration retry_after = default_refusal_retry_after;
};

using inbound_request_pointer = std::shared_ptr<const inbound_request>;

/// The calls that wait for the target beside this daemon or run there. Each gets exactly one
/// response, which is kept so that a sender can query it again after its link is lost.
///
/// A call starts only after everything that its sender has already sent has been read: if the event
/// loop was blocked, a call may be read long after it was sent, with its cancellation right behind
/// it in the receive buffer.
class inbound_work {
 public:
  struct context {
    timer_service& timers;
    decision_log& log;
    metrics& counters;
    /// Name of the header with the caller's id of the request, which log lines contain.
    std::string attempt_id_header;
  };

  struct handlers {
    /// Whether the target can accept a request now.
    std::function<inbound_refusal(const inbound_request&)> check;
    /// Reads and handles all messages that the sender of a request has already sent. Returns
    /// whether the link over which the request arrived is still open.
    std::function<bool(const inbound_request&)> read_from_sender;
    /// Sends a request to the target; its response is passed to `finish`.
    std::function<void(const inbound_request_pointer&)> start;
    /// Aborts the exchange with the target for a request that was started.
    std::function<void(std::uint64_t ticket)> stop;
    std::function<void(const instance_name& to, const wire::call_answer&)> send_response;
  };

  inbound_work(context shared, handlers callbacks);

  void receive(const instance_name& from, const wire::call& call);
  void cancel(const instance_name& from, std::uint64_t sender_incarnation, wire::request_id id);
  /// A link to a peer is open. Requests of earlier processes of the peer are abandoned, because
  /// nobody waits for their responses.
  void peer_established(const instance_name& peer, std::uint64_t incarnation);
  /// A link to a peer is lost. The peer then gives up its idempotent calls and queries the status
  /// of the others over another link.
  void link_lost(const instance_name& peer, std::uint64_t link);
  [[nodiscard]] wire::call_status_answer status(const instance_name& from,
                                                const wire::call_status& query);

  /// The exchange with the target has ended, with or without a response of the target.
  void finish(const inbound_request_pointer& request, wire::call_answer response, bool failed);

  /// The request with this id that was sent to the target; null if there is none.
  [[nodiscard]] inbound_request_pointer running(const instance_name& from,
                                                std::uint64_t sender_incarnation,
                                                wire::request_id id) const;
  /// The whole body of a request has been passed to the target.
  void body_completed(std::uint64_t ticket);

  /// Sets the time at which the process ends. Requests with later deadlines are refused.
  void end_at(time_point when) { ends_at_ = when; }
  void set_slots(std::int32_t slots);
  /// Refuses the waiting requests, because the target is leaving.
  void refuse_waiting();

  [[nodiscard]] std::string attempt_id_of(const inbound_request& request) const;
  [[nodiscard]] load_report load() const;
  /// Requests that wait or run.
  [[nodiscard]] std::size_t active() const noexcept { return requests_.size(); }
  [[nodiscard]] std::size_t queued() const noexcept { return queue_.queued(); }
  [[nodiscard]] std::size_t slots_in_use() const noexcept { return queue_.slots_in_use(); }

 private:
  using request_pointer = std::shared_ptr<inbound_request>;

  [[nodiscard]] request_pointer find(const instance_name& from, std::uint64_t sender_incarnation,
                                     wire::request_id id) const;
  /// Requests whose bodies follow their calls, and how many of them may wait or run.
  [[nodiscard]] std::size_t streamed_requests() const;
  [[nodiscard]] std::size_t streamed_limit() const;
  void apply(const slot_changes& changes);
  void start_admitted();
  void start(const request_pointer& request, bool link_open);
  void abandon_all(const instance_name& peer, const std::string& reason,
                   const std::function<bool(const wire::call&)>& matches);
  /// Ends a request whose response nobody waits for any more. A request that is running and is not
  /// idempotent continues, because completing it is more important than freeing its slot, unless
  /// the rest of its body cannot arrive any more.
  void abandon(const request_pointer& request, const std::string& reason);
  /// Refuses a request that has not been sent to the target, and frees its queue entry or slot.
  void drop(const request_pointer& request, const inbound_refusal& refusal);
  /// Frees the slot of a request that was started. Only a response of the target is a sample of the
  /// service time.
  [[nodiscard]] slot_changes free_slot(std::uint64_t ticket, verdict outcome, time_point now);
  void refuse(const request_pointer& request, const inbound_refusal& refusal);
  void respond(const inbound_request& request, wire::call_answer response);

  context shared_;
  handlers callbacks_;
  slot_queue queue_;
  request_ledger ledger_;
  failure_share failures_;
  std::map<std::uint64_t, request_pointer> requests_;
  std::deque<std::uint64_t> admitted_;  ///< Tickets of requests that have a slot and start next.
  timer_handle start_timer_;
  std::uint64_t next_ticket_ = 1;
  std::size_t slots_ = 0;
  std::optional<time_point> ends_at_;
  timer_handle queue_timer_;
  timer_handle ledger_timer_;
};

}  // namespace crocusdoor

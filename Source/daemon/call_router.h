#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "daemon/peer_links.h"
#include "link/pending_calls.h"
#include "transport/timer_service.h"
#include "wire/message.h"

namespace crocusdoor {

/// The calling side of the links: sends calls to the daemons of the chosen targets and matches each
/// response with its call, also if the link that carried the call has been lost since.
class call_router {
 public:
  /// Reason of an outcome whose link was lost after the call was written.
  static constexpr const char* link_lost_reason = "link_lost";
  /// Reason of an outcome whose call was never written, because no link could be opened.
  static constexpr const char* link_unavailable_reason = "link_unavailable";

  using callback = std::function<void(const call_outcome&)>;

  struct handlers {
    /// Passes a call to this daemon's own target.
    std::function<void(const wire::call&)> deliver_locally;
    std::function<void(wire::request_id)> cancel_locally;
    /// A response arrived that belongs to no waiting call.
    std::function<void()> response_unmatched;
    /// A call was cancelled; `sent` says whether the cancellation could be sent to the receiver at
    /// once.
    std::function<void(const instance_name& to, wire::request_id, bool sent)> cancelled;
  };

  call_router(timer_service& timers, peer_process self, peer_links& links, handlers callbacks);

  /// Sends a call after filling in its id and sender. `done` is called exactly once, in a later
  /// iteration of the event loop and no later than the first expiry check after `deadline`.
  wire::request_id send(const instance_name& to, wire::call request, time_point deadline,
                        callback done);

  /// Sends a cancellation to the receiver of a call whose response is no longer needed; without an
  /// open link it is sent over the next one. The callback of the call is still called.
  void cancel(wire::request_id id);

  /// Accepts a response of this daemon's own target.
  void receive_local_response(const wire::call_answer& response);

  void peer_established(const instance_name& peer);
  void peer_lost(const instance_name& peer);
  /// One of several sessions to a peer has ended; messages that it carried may be lost.
  void session_replaced(const instance_name& peer);
  void dial_failed(const instance_name& peer);

  /// Number of calls without a response.
  [[nodiscard]] std::size_t waiting_calls() const noexcept { return calls_.size(); }

 private:
  struct waiting_call {
    instance_name to;
    callback done;
    /// Set while the call waits for a link and has not been written.
    std::optional<wire::call> unsent;
    time_point deadline;
    bool idempotent = false;
    bool cancelled = false;
  };

  void write(wire::request_id id, waiting_call& call);
  void finish(const call_outcome& outcome);
  void send_cancellation(const instance_name& to, wire::request_id id, time_point deadline);
  void send_unsent_cancellations(const instance_name& to);
  void expire();
  void expire_cancellations(time_point now);
  peer_process process_of(const instance_name& name) const;

  timer_service& timers_;
  peer_process self_;
  peer_links& links_;
  handlers callbacks_;
  pending_calls pending_;
  std::map<wire::request_id, waiting_call> calls_;
  std::map<instance_name, std::vector<wire::request_id>> pending_status_queries_;
  /// Cancellations waiting for a link, with the deadlines of their calls.
  std::map<instance_name, std::map<wire::request_id, time_point>> unsent_cancellations_;
  wire::request_id next_id_;
  timer_handle timer_;
};

}  // namespace crocusdoor

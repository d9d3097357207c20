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

/// The calling side of the links: carries calls to the daemons beside the chosen targets and brings
/// each answer to the call it belongs to, over lost links too.
class call_router {
 public:
  /// Reason of an outcome whose link was lost after the call was written.
  static constexpr const char* link_lost_reason = "link_lost";
  /// Reason of an outcome whose call was never written, because no link could be opened.
  static constexpr const char* link_unavailable_reason = "link_unavailable";

  using callback = std::function<void(const call_outcome&)>;

  struct handlers {
    /// Passes a call to the target beside this daemon.
    std::function<void(const wire::call&)> deliver_locally;
    std::function<void(wire::request_id)> cancel_locally;
    /// An answer has come that no call waits for.
    std::function<void()> answer_unmatched;
    /// A call was cancelled; `sent` says whether its receiver could be told at once.
    std::function<void(const instance_name& to, wire::request_id, bool sent)> cancelled;
  };

  call_router(timer_service& timers, peer_process self, peer_links& links, handlers callbacks);

  /// Sends a call; its id and sender are filled in. `done` is called exactly once, in a later turn
  /// of the loop and at the latest after `deadline`.
  wire::request_id send(const instance_name& to, wire::call request, time_point deadline,
                        callback done);

  /// Tells the receiver that nobody waits for the answer any more, over the next link if there is
  /// none now. The callback is still called.
  void cancel(wire::request_id id);

  /// An answer of the target beside this daemon.
  void receive_local_response(const wire::call_answer& answer);

  void peer_established(const instance_name& peer);
  void peer_lost(const instance_name& peer);
  /// One of several sessions to a peer has ended; what it carried may be lost.
  void session_replaced(const instance_name& peer);
  void dial_failed(const instance_name& peer);

  /// Calls without an answer.
  [[nodiscard]] std::size_t waiting() const noexcept { return calls_.size(); }

 private:
  struct waiting_call {
    instance_name to;
    callback done;
    /// Set while the call waits for a link; the call is then not written yet.
    std::optional<wire::call> unsent;
    time_point deadline;
    bool idempotent = false;
    bool cancelled = false;
  };

  void write(wire::request_id id, waiting_call& one);
  void finish(const call_outcome& outcome);
  void send_cancellation(const instance_name& to, wire::request_id id, time_point deadline);
  void send_kept_cancellations(const instance_name& to);
  void expire();
  void expire_cancellations(time_point now);
  peer_process process_of(const instance_name& name) const;

  timer_service& timers_;
  peer_process self_;
  peer_links& links_;
  handlers callbacks_;
  pending_calls pending_;
  std::map<wire::request_id, waiting_call> calls_;
  std::map<instance_name, std::vector<wire::request_id>> to_query_;
  /// Cancellations that wait for a link, with the deadlines of their calls.
  std::map<instance_name, std::map<wire::request_id, time_point>> kept_cancellations_;
  wire::request_id next_id_;
  timer_handle timer_;
};

}  // namespace crocusdoor

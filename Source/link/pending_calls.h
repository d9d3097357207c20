#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"
#include "core/verdict.h"
#include "wire/message.h"

namespace crocusdoor {

/// One process of an instance. A restarted process has no record of the requests that the previous
/// process received, so its "never received" is no evidence that they did not run.
struct peer_process {
  instance_name name;
  std::uint64_t incarnation = 0;
  friend auto operator<=>(const peer_process&, const peer_process&) = default;
};

/// Final outcome of a call as known to its sender.
struct call_outcome {
  wire::request_id id = 0;
  peer_process receiver;
  verdict outcome = verdict::may_have_run;
  std::optional<wire::call_answer> response;  ///< If the receiver sent one.
  std::string reason;                         ///< Why there is no response.
};

/// Calls of a lost link, by what their sender does next.
struct lost_link_calls {
  std::vector<wire::request_id> to_query;  ///< Query these with `call_status` over a new link.
  std::vector<call_outcome> outcomes;      ///< Of calls never written to the link: not run.
};

/// Calls that wait for their responses. Each call gets exactly one outcome; messages that arrive
/// for it later, or from another instance, are dropped and counted.
class pending_calls {
 public:
  /// Adds a call. `written` says whether it was passed to the link (`peer_link::send` returned
  /// true); otherwise `set_written` can mark it later. Returns false if the id is in use.
  bool add(wire::request_id id, const peer_process& receiver, time_point deadline, bool written);
  void set_written(wire::request_id id);

  /// Handles a response. Returns the outcome, or nothing if no written call with this id waits for
  /// this receiver.
  [[nodiscard]] std::optional<call_outcome> handle_response(const wire::call_answer& response,
                                                            const peer_process& from);

  /// Handles a link to an instance that was closed, went silent or could not be opened.
  [[nodiscard]] lost_link_calls link_lost(const instance_name& instance);

  /// Handles the response to a `call_status` query over a new link to `from`. Returns the outcome,
  /// or nothing while the call is waiting or running; its response then arrives over the new link.
  [[nodiscard]] std::optional<call_outcome> handle_status(const wire::call_status_answer& status,
                                                          const peer_process& from);

  /// Ends the calls past their deadline: "not run" if never written, otherwise "may have run".
  [[nodiscard]] std::vector<call_outcome> expire(time_point now);

  /// Earliest deadline of a waiting call, if any.
  [[nodiscard]] std::optional<time_point> next_deadline() const;

  [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }
  /// Number of responses and statuses that matched no waiting call.
  [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

 private:
  struct call {
    peer_process receiver;
    time_point deadline;
    bool written = false;
  };
  using call_map = std::map<wire::request_id, call>;

  call_outcome finish(call_map::iterator found, const wire::call_answer& response);
  call_outcome finish(call_map::iterator found, verdict outcome, std::string reason);

  call_map calls_;
  std::set<std::pair<time_point, wire::request_id>> deadlines_;
  std::uint64_t dropped_ = 0;
};

}  // namespace crocusdoor

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

/// One process of an instance. After a restart the new process knows nothing of the requests of the
/// old one, so its "never received" says nothing about them.
struct peer_process {
  instance_name name;
  std::uint64_t incarnation = 0;
  friend auto operator<=>(const peer_process&, const peer_process&) = default;
};

/// Final outcome of a call, as its sender sees it.
struct call_outcome {
  wire::request_id id = 0;
  peer_process receiver;
  verdict outcome = verdict::may_have_run;
  std::optional<wire::call_answer> response;  ///< If the receiver gave one.
  std::string reason;                         ///< Why there is no answer.
};

/// What a sender does after a link was lost.
struct lost_link_calls {
  std::vector<wire::request_id> to_query;  ///< Query these by `call_status` over a new link.
  std::vector<call_outcome> outcomes;      ///< Never written to the link: not run.
};

/// Calls that wait for their answers. Each call gets exactly one outcome; whatever arrives for it
/// later, or from another instance, is dropped and counted.
class pending_calls {
 public:
  /// Adds a call. `written` says whether it was handed to the link (`peer_link::send` returned
  /// true); a call that was not can be marked by `set_written` later. Returns false if the id is in
  /// use.
  bool add(wire::request_id id, const peer_process& receiver, time_point deadline, bool written);
  void set_written(wire::request_id id);

  /// An answer arrived. Returns the outcome, or nothing if no such call waits for this receiver.
  [[nodiscard]] std::optional<call_outcome> handle_response(const wire::call_answer& answer,
                                                            const peer_process& from);

  /// The link to an instance was closed, went silent or could not be opened.
  [[nodiscard]] lost_link_calls link_lost(const instance_name& instance);

  /// The answer to a query over a new link to `from`. Returns the outcome, or nothing while the
  /// call goes on (waiting or running: its answer comes over the new link).
  [[nodiscard]] std::optional<call_outcome> handle_status(const wire::call_status_answer& answer,
                                                          const peer_process& from);

  /// Calls past their deadline: "not run" if never written, otherwise "may have run".
  [[nodiscard]] std::vector<call_outcome> expire(time_point now);

  /// Earliest deadline of a waiting call, if any.
  [[nodiscard]] std::optional<time_point> next_deadline() const;

  [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }
  /// Answers and statuses that matched no waiting call.
  [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

 private:
  struct call {
    peer_process receiver;
    time_point deadline;
    bool written = false;
  };
  using call_map = std::map<wire::request_id, call>;

  call_outcome finish(call_map::iterator found, verdict outcome, std::string reason);

  call_map calls_;
  std::set<std::pair<time_point, wire::request_id>> deadlines_;
  std::uint64_t dropped_ = 0;
};

}  // namespace crocusdoor

#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "run_once/shard_effect.h"
#include "run_once/shard_record.h"

namespace crocusdoor {

/// A change that is not durable yet, with the ticket that waits for it.
struct pending_change {
  log_entry entry;
  std::optional<ticket_number> ticket;  ///< Empty if nobody waits, or the claim was refused.
  time_point deadline;                  ///< Claims: when the requester stops waiting.
};

/// Changes of one shard on their way into the log: those of the batch being written and those that
/// wait for the next batch.
class pending_changes {
 public:
  void add(pending_change change);

  /// Moves changes from the queue into the batch being written, up to a size in bytes; at least
  /// one.
  [[nodiscard]] std::vector<log_entry> start_batch(std::size_t limit_bytes);
  /// Ends the batch being written and returns its changes.
  [[nodiscard]] std::vector<pending_change> finish_batch();
  /// Puts changes back at the front of the queue, in their order.
  void put_back(std::vector<pending_change> changes);
  /// Removes everything.
  [[nodiscard]] std::vector<pending_change> take_all();

  /// Removes queued claims for which `condition` holds and takes the ticket of those being written;
  /// returns copies that still have their tickets.
  template <typename Condition>
  std::vector<pending_change> give_up_claims(Condition condition);

  /// Body digest of the claim of an operation that is queued or being written, or null.
  [[nodiscard]] const digest* claimed_body(const operation_key& operation) const;

  [[nodiscard]] std::size_t size() const noexcept { return queue_.size() + written_.size(); }
  [[nodiscard]] bool queue_empty() const noexcept { return queue_.empty(); }
  /// Earliest deadline of a claim that somebody waits for.
  [[nodiscard]] std::optional<time_point> earliest_deadline() const;

 private:
  std::vector<pending_change> queue_;
  std::vector<pending_change> written_;
  std::map<operation_key, digest> claims_;  // Bodies of all claims in both lists.
};

template <typename Condition>
std::vector<pending_change> pending_changes::give_up_claims(Condition condition) {
  std::vector<pending_change> given_up;
  const auto matches = [&](const pending_change& change) {
    return change.entry.kind == entry_kind::claim && change.ticket.has_value() && condition(change);
  };
  for (pending_change& change : written_) {
    if (matches(change)) {
      given_up.push_back(change);
      change.ticket.reset();
    }
  }
  std::erase_if(queue_, [&](const pending_change& change) {
    const bool drop = matches(change);
    if (drop) {
      given_up.push_back(change);
      claims_.erase(change.entry.operation);
    }
    return drop;
  });
  return given_up;
}

}  // namespace crocusdoor

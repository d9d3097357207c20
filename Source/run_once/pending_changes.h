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

/// Change that is not durable yet, with the ticket of the request that waits for it.
struct pending_change {
  log_entry entry;
  std::optional<ticket_number> ticket;  ///< Empty if no request waits, or it was refused.
  time_point deadline;                  ///< Claims only: when the requester stops waiting.
};

/// Changes of one shard that are not durable yet: those of the batch in flight and the queue for
/// the next batch.
class pending_changes {
 public:
  void add(pending_change change);

  /// Moves changes from the queue into the batch in flight, up to a size in bytes, but at least
  /// one.
  [[nodiscard]] std::vector<log_entry> start_batch(std::size_t limit_bytes);
  /// Empties the batch in flight and returns its changes.
  [[nodiscard]] std::vector<pending_change> finish_batch();
  /// Puts changes back at the front of the queue and keeps their order.
  void put_back(std::vector<pending_change> changes);
  /// Removes and returns all changes, those in flight first.
  [[nodiscard]] std::vector<pending_change> take_all();

  /// Withdraws the claims that have a ticket and for which `condition` holds: removes them from the
  /// queue, and removes only the ticket of those in flight. Returns copies that have their tickets.
  template <typename Condition>
  std::vector<pending_change> withdraw_claims(Condition condition);

  /// Body digest of the queued or in-flight claim of an operation, or null.
  [[nodiscard]] const digest* claimed_body(const operation_key& operation) const;

  [[nodiscard]] std::size_t size() const noexcept { return queue_.size() + in_flight_.size(); }
  [[nodiscard]] bool queue_empty() const noexcept { return queue_.empty(); }
  /// Earliest deadline of a claim that a request waits for.
  [[nodiscard]] std::optional<time_point> earliest_deadline() const;

 private:
  std::vector<pending_change> queue_;
  std::vector<pending_change> in_flight_;
  std::map<operation_key, digest> claimed_bodies_;  // Body digests of all claims in both lists.
};

template <typename Condition>
std::vector<pending_change> pending_changes::withdraw_claims(Condition condition) {
  std::vector<pending_change> withdrawn;
  const auto matches = [&](const pending_change& change) {
    return change.entry.kind == entry_kind::claim && change.ticket.has_value() && condition(change);
  };
  for (pending_change& change : in_flight_) {
    if (matches(change)) {
      withdrawn.push_back(change);
      change.ticket.reset();
    }
  }
  std::erase_if(queue_, [&](const pending_change& change) {
    const bool removed = matches(change);
    if (removed) {
      withdrawn.push_back(change);
      claimed_bodies_.erase(change.entry.operation);
    }
    return removed;
  });
  return withdrawn;
}

}  // namespace crocusdoor

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "rollout/rollout_order.h"
#include "sidecar/platform_contract.h"

namespace crocusdoor {

/// Orders in the platform's store. A watch returns those that have changed.
struct rollout_listing {
  store_outcome outcome = store_outcome::unknown;
  std::uint64_t revision = 0;  ///< Revision of the store from which the next watch starts.
  std::uint64_t era = 0;       ///< Rises when the store was restored from a copy; 0 if unknown.
  std::vector<rollout_order> orders;
  std::size_t unreadable_orders = 0;  ///< Objects of other writers that were passed over.
};

/// Result of a write of a status.
struct rollout_write_result {
  store_outcome outcome = store_outcome::unknown;
  std::uint64_t revision = 0;  ///< Of the object after the write; 0 if it is not known.
};

/// Calls to the platform's store about rollouts. Each callback is called exactly once, from the
/// event loop after the call has returned, except that of a watch that is ended.
class rollout_store {
 public:
  rollout_store() = default;
  virtual ~rollout_store() = default;
  rollout_store(const rollout_store&) = delete;
  rollout_store& operator=(const rollout_store&) = delete;

  using listing_callback = std::function<void(const rollout_listing&)>;
  using write_callback = std::function<void(const rollout_write_result&)>;

  virtual void list_orders(listing_callback done) = 0;
  /// Waits for a change after a revision, for no longer than `wait`.
  virtual void watch_orders(std::uint64_t revision, duration wait, listing_callback done) = 0;
  /// Ends a watch that is waiting; its callback is not called.
  virtual void end_watch() = 0;
  virtual void write_status(const rollout_status_write& write, write_callback done) = 0;
};

}  // namespace crocusdoor

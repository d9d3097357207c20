#pragma once

#include <functional>
#include <vector>

#include "sidecar/crash_count_archive.h"
#include "sidecar/sidecar_context.h"

namespace crocusdoor {

/// Exchanges with the other daemons how often requests have crashed their targets, and keeps the
/// counts of refused requests in the platform's store.
class crash_count_exchange {
 public:
  /// `send_to_all` sends counts to all peers.
  crash_count_exchange(const sidecar_context& shared, entry_writer& entry,
                       std::function<void(const std::vector<crash_count>&)> send_to_all);

  /// Begins to remove counts past their age limit.
  void start();
  void received(const instance_name& from, const std::vector<crash_count>& counts);
  /// Sends counts that have changed on this daemon; does nothing if there are none.
  void changed(const std::vector<crash_count>& counts);
  /// Takes over the counts in the entries of the daemons, once after the start.
  void restore(const std::vector<daemon_entry>& entries);
  /// The store has gone back to an older copy; see `crash_count_archive`.
  void store_era_changed(const std::function<bool(const digest& request)>& is_keeper) {
    archive_.store_era_changed(is_keeper);
  }

 private:
  void reset_counts_of_completed();

  const sidecar_context& shared_;
  std::function<void(const std::vector<crash_count>&)> send_to_all_;
  crash_count_archive archive_;
  std::vector<digest> reported_;  ///< Requests to be reset if they have completed here.
  timer_handle reset_timer_;
  timer_handle expiry_timer_;
};

}  // namespace crocusdoor

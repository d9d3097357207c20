#pragma once

#include <functional>
#include <vector>

#include "sidecar/entry_writer.h"
#include "sidecar/sidecar_context.h"

namespace crocusdoor {

/// Keeps the refused requests whose crashes this daemon has counted in its entry in the platform's
/// store, so that they are known after all daemons have ended at once.
///
/// Only the listing at a daemon's start is read back. Counts that were reset or have expired are
/// removed from the entry by the daemon that stored them; the entry of a daemon that is gone keeps
/// its counts, and a daemon that starts then refuses these requests for another age limit.
class crash_count_archive {
 public:
  crash_count_archive(const sidecar_context& shared, entry_writer& entry);

  /// The entries have been listed for the first time since the start of the process. Returns the
  /// counts that they contain.
  std::vector<crash_count> restore(const std::vector<daemon_entry>& entries);
  /// Counts have changed on this daemon.
  void changed(const std::vector<crash_count>& counts);
  /// The store has gone back to an older copy. Takes over the refused requests that `is_keeper`
  /// assigns to this daemon, because the daemon that kept them may have been lost meanwhile.
  void store_era_changed(const std::function<bool(const digest& request)>& is_keeper);
  /// Stores the counts that have changed. Call about once a second.
  void update();

 private:
  [[nodiscard]] std::vector<crash_count> refused_counts();

  const sidecar_context& shared_;
  entry_writer& entry_;
  std::vector<digest> requests_;  ///< Requests to be kept, the latest last.
};

}  // namespace crocusdoor

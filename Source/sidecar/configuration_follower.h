#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/random_source.h"
#include "daemon/metrics.h"
#include "mesh/configuration_change.h"
#include "mesh/freshness.h"
#include "mesh/route_table.h"
#include "mesh/version_catch_up.h"
#include "sidecar/decision_log.h"
#include "sidecar/platform_contract.h"
#include "transport/timer_service.h"

namespace crocusdoor {

/// Objects shared by the classes that distribute configurations.
struct configuration_context {
  timer_service& timers;
  random_source& random;
  decision_log& log;
  metrics& counters;
  /// Secret seed of the hash by which API keys are looked up.
  std::uint64_t key_seed = 0;
  freshness_limits freshness{};
  /// Reads the clock of the ages of proofs, which counts suspension.
  std::function<time_point()> proof_clock = nullptr;

  [[nodiscard]] time_point proof_time() const { return proof_clock ? proof_clock() : timers.now(); }
};

/// Keeps the newest configuration that this daemon has received. Within one process the version
/// only increases.
///
/// A few daemons of each failure domain, its watchers, wait for changes at the platform's store and
/// forward them to the other daemons of their domain, so that the number of store calls for a
/// change does not depend on the number of daemons. The other daemons read from the store at long
/// intervals, and when a peer reports a version that they have not received.
class configuration_follower {
 public:
  struct handlers {
    std::function<void(const route_table_pointer&)> adopted;
    /// Number of daemons that wait at the store at the same time.
    std::function<std::size_t()> watcher_count;
    /// Whether this daemon waits at the store.
    std::function<bool()> is_watcher;
    std::function<void(const instance_name&)> request_configuration;
    /// The store has returned a new version; null if it is the first configuration of this process.
    std::function<void(const configuration_change*)> distribute;
    /// The store held this version as its newest one at this time of the proof clock.
    std::function<void(std::uint64_t version, time_point at)> proved;
    /// Whether proofs are needed, so that watches must not wait for long.
    std::function<bool()> needs_proofs;
  };

  configuration_follower(const configuration_context& shared, mesh_store& store,
                         handlers callbacks);

  void start();
  /// The current configuration; null before the first one.
  /// Reads from the store, unless a read is outstanding.
  void read();
  [[nodiscard]] const route_table_pointer& current() const noexcept { return current_; }
  [[nodiscard]] std::uint64_t version() const noexcept {
    return current_ == nullptr ? 0 : current_->version();
  }

  /// The store has gone back to an older copy and assigns revisions again.
  void store_era_changed();
  /// The daemons of the own failure domain have changed, and so may have its watchers.
  void watchers_changed();
  /// A peer reports this as its current version.
  void version_seen(const instance_name& peer, bool same_domain, std::uint64_t version);
  void peer_lost(const instance_name& peer) { catch_up_.peer_lost(peer); }
  /// A peer has sent its current configuration.
  void configuration_received(const instance_name& peer, const mesh_configuration& content);
  /// A watcher has sent a change of the configuration.
  void change_received(const instance_name& peer, const configuration_change& change);

 private:
  void watch();
  void read_ended(const configuration_read_result& result);
  void log_problem(const configuration_read_result& result);
  void history_gone();
  /// Reports what the response to a call proves. `sent` is the time at which the call was sent.
  void report_proof(const configuration_read_result& result, time_point sent, duration wait);
  void watch_ended(const configuration_read_result& result);
  void call_failed(store_outcome outcome);
  void call_succeeded(const configuration_read_result& result);
  void adopt(mesh_configuration configuration, const std::string& origin);
  void adopt_from_store(mesh_configuration configuration);
  void follow();
  void schedule_catch_up();
  void catch_up();
  [[nodiscard]] duration watch_duration() const;

  configuration_context shared_;
  mesh_store& store_;
  handlers callbacks_;
  route_table_pointer current_;
  std::uint64_t revision_ = 0;  ///< From which the next watch starts.
  bool revision_void_ = false;  ///< The store does not have the revision any more.
  int gone_in_a_row_ = 0;       ///< Watches without a history since the last other one.
  std::uint64_t watches_ = 0;   ///< Number of watches so far; results of earlier ones are ignored.
  std::optional<std::uint64_t> stored_version_;  ///< That the store has shown last, if readable.
  int failures_ = 0;
  bool read_outstanding_ = false;
  bool watch_outstanding_ = false;
  bool read_scheduled_ = false;  ///< Not a watcher; `next_call_` is the next read.
  version_catch_up catch_up_;
  std::optional<time_point> catch_up_due_;
  timer_handle next_call_;
  timer_handle catch_up_timer_;
};

}  // namespace crocusdoor

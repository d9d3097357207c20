#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/random_source.h"
#include "daemon/metrics.h"
#include "mesh/configuration_change.h"
#include "mesh/route_table.h"
#include "mesh/version_catch_up.h"
#include "sidecar/decision_log.h"
#include "sidecar/platform_contract.h"
#include "transport/timer_service.h"

namespace crocusdoor {

/// What the parts that spread configurations use.
struct configuration_context {
  timer_service& timers;
  random_source& random;
  decision_log& log;
  metrics& counters;
};

/// Keeps the newest configuration that this daemon has seen. Versions only rise within one process.
///
/// A few daemons of each failure domain, its watchers, wait at the platform's store for changes and
/// pass them on to the others of their domain, so that a change costs the same number of calls with
/// any number of daemons. The others ask the store seldom, and when they hear of a version that
/// they have not been given.
class configuration_follower {
 public:
  struct handlers {
    std::function<void(const route_table_pointer&)> adopted;
    /// Daemons that wait at the store at the same time.
    std::function<std::size_t()> watcher_count;
    /// Whether this daemon waits at the store.
    std::function<bool()> is_watcher;
    std::function<void(const instance_name&)> request_whole;
    /// The store has brought a version; null if it is the first one.
    std::function<void(const configuration_change*)> pass_on;
  };

  configuration_follower(const configuration_context& shared, mesh_store& store,
                         handlers callbacks);

  void start();
  /// The version in force; null before the first one.
  [[nodiscard]] const route_table_pointer& current() const noexcept { return current_; }
  [[nodiscard]] std::uint64_t version() const noexcept {
    return current_ == nullptr ? 0 : current_->version();
  }

  /// The daemons of the own failure domain have changed, and with them maybe its watchers.
  void watchers_changed();
  /// A peer holds this version.
  void version_seen(const instance_name& peer, bool same_domain, std::uint64_t version);
  void peer_lost(const instance_name& peer) { catch_up_.peer_lost(peer); }
  /// A peer has sent the configuration that it holds.
  void whole_received(const instance_name& peer, const mesh_configuration& content);
  /// A watcher has sent what has changed.
  void change_received(const instance_name& peer, const configuration_change& change);

 private:
  void read();
  void watch();
  void reading_ended(const configuration_reading& reading);
  void watch_ended(const configuration_reading& reading);
  void call_failed(store_outcome outcome);
  void call_answered(const configuration_reading& reading);
  void adopt(mesh_configuration found, const std::string& origin);
  void adopt_from_store(mesh_configuration found);
  void follow();
  void schedule_catch_up();
  void catch_up();
  [[nodiscard]] duration watch_time() const;

  configuration_context shared_;
  mesh_store& store_;
  handlers callbacks_;
  route_table_pointer current_;
  std::uint64_t revision_ = 0;
  int failures_ = 0;
  bool reading_ = false;
  bool watching_ = false;
  bool pausing_ = false;  ///< Until the next call, as no watcher.
  version_catch_up catch_up_;
  std::optional<time_point> catch_up_due_;
  timer_handle next_call_;
  timer_handle catch_up_timer_;
};

}  // namespace crocusdoor

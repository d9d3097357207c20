#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "daemon/message_dispatcher.h"
#include "mesh/upstream_pool.h"
#include "rollout/rollout_decider.h"
#include "sidecar/rollout_store.h"
#include "sidecar/sidecar_context.h"

namespace crocusdoor {

/// Connects the rollouts to the event loop, the links and the store: at the deciding daemon it
/// watches the orders, at all daemons it exchanges states and reports.
class rollout_service {
 public:
  struct handlers {
    std::function<void(const instance_name& to, const wire::message&)> send;
    std::function<void(const wire::message&)> send_to_all;
    std::function<std::vector<instance_name>()> linked_peers;
    /// Daemons that are known, with and without a link.
    std::function<std::size_t()> known_daemons;
    /// Whether this daemon may decide: it has listed the daemons and is not being stopped.
    std::function<bool()> may_decide;
  };

  /// Without a store, or with an exposure share of 0, there are no rollouts.
  rollout_service(const sidecar_context& shared, std::unique_ptr<rollout_store> store,
                  rollout_table& table, const upstream_pool& upstreams, handlers callbacks);

  void start();
  void connect(message_dispatcher& dispatcher);
  /// A link to a peer is open; the peer may not know the rollouts.
  void peer_established(const instance_name& peer);
  /// The store has gone back to an older copy: statuses may be lost, and a watch may miss changes,
  /// so the orders are listed again.
  void store_era_changed(std::uint64_t era);
  [[nodiscard]] bool decides() const noexcept { return deciding_; }
  /// Sets the gauges of the rollouts at the time of a scrape.
  void update_metrics();

 private:
  [[nodiscard]] bool enabled() const;
  void check();
  void end_deciding();
  void list();
  void watch();
  void read_ended(std::uint64_t read, const rollout_listing& listing, bool listed);
  /// Whether the listing is from an older era of the store than the newest one known.
  [[nodiscard]] bool is_outdated(const rollout_listing& listing) const;
  void state_received(const instance_name& from, const wire::rollout_state& state);
  void write(const rollout_status_write& request);
  void log_phase(const wire::rollout_state& state);

  const sidecar_context& shared_;
  std::unique_ptr<rollout_store> store_;
  rollout_table& table_;
  const upstream_pool& upstreams_;
  handlers callbacks_;
  rollout_decider decider_;
  bool deciding_ = false;
  /// Counts the periods in which this daemon decides; responses to calls of earlier ones are
  /// dropped.
  std::uint64_t round_ = 0;
  std::uint64_t reads_ = 0;  ///< Lists and watches so far; results of earlier ones are dropped.
  std::uint64_t era_ = 0;    ///< Newest era of the store; 0 if it is not known.
  std::uint64_t revision_ = 0;
  duration retry_delay_{0};
  std::map<service_name, std::int32_t> logged_permille_;
  timer_handle check_timer_;
  timer_handle retry_timer_;
};

}  // namespace crocusdoor

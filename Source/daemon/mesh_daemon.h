#pragma once

#include <memory>
#include <optional>
#include <string>

#include "core/random_source.h"
#include "daemon/call_router.h"
#include "daemon/caller_services.h"
#include "daemon/configuration_distributor.h"
#include "daemon/daemon_context.h"
#include "daemon/membership_service.h"
#include "daemon/metrics.h"
#include "daemon/peer_mesh.h"
#include "daemon/run_once_service.h"
#include "daemon/settings.h"
#include "daemon/stop_watch.h"
#include "daemon/target_gateway.h"
#include "daemon/trace_recorder.h"
#include "platform/platform_client.h"
#include "suspicion/crash_suspicions.h"
#include "transport/http_server.h"

namespace crocusdoor {

class intent_api;

/// Creates the components of one daemon and connects them.
class mesh_daemon {
 public:
  /// Throws std::runtime_error if an address cannot be bound.
  mesh_daemon(event_loop& loop, settings options);
  ~mesh_daemon();
  mesh_daemon(const mesh_daemon&) = delete;
  mesh_daemon& operator=(const mesh_daemon&) = delete;

  void start();
  /// Refuses new requests, waits until those in flight have finished or the drain limit has passed,
  /// withdraws the announcement and stops the loop.
  void begin_drain();

  [[nodiscard]] const daemon_context& shared() const noexcept { return shared_; }
  [[nodiscard]] configuration_distributor& distributor() noexcept { return *distributor_; }
  [[nodiscard]] membership_service& membership() noexcept { return *membership_; }
  [[nodiscard]] run_once_service& run_once() noexcept { return *run_once_; }
  [[nodiscard]] target_gateway& target() noexcept { return *target_; }
  [[nodiscard]] platform_client& platform() noexcept { return platform_; }
  [[nodiscard]] crash_suspicions& suspicions() noexcept { return suspicions_; }
  [[nodiscard]] const upstream_selector& selector() const noexcept { return selector_; }
  [[nodiscard]] bool draining() const noexcept { return draining_; }
  /// Sends reports of a target's crash or of an operator's clearing to all linked peers.
  void broadcast_suspicions(const std::vector<crash_report>& reports);
  /// Copies the totals that other objects count into the metrics and renders all metrics.
  [[nodiscard]] std::string render_metrics();

 private:
  [[nodiscard]] instance_record make_self() const;
  void log_memory(const buffer_manager::refusal_counts& refusals) const;
  peer_mesh::handlers mesh_handlers();
  target_gateway::handlers target_handlers();
  void receive_suspicions(const instance_name& from, const wire::suspicions& content);
  void directory_changed();
  void refresh_upstreams();
  void review_state();
  void continue_drain();
  void stop();

  event_loop& loop_;
  settings options_;
  random_source random_;
  metrics counters_;
  trace_recorder traces_;
  std::shared_ptr<buffer_manager> buffers_;
  daemon_context shared_;
  platform_client platform_;
  crash_suspicions suspicions_;
  upstream_selector selector_;
  hedge_policy hedges_;
  std::map<service_name, retry_budget> retry_budgets_;
  std::map<service_name, std::vector<upstream>> known_upstreams_;
  std::unique_ptr<peer_mesh> mesh_;
  std::unique_ptr<membership_service> membership_;
  std::unique_ptr<configuration_distributor> distributor_;
  std::unique_ptr<run_once_service> run_once_;
  std::unique_ptr<target_gateway> target_;
  std::unique_ptr<call_router> router_;
  std::unique_ptr<caller_services> caller_services_;
  std::unique_ptr<http_server> caller_server_;
  std::unique_ptr<intent_api> api_;
  time_point started_at_;
  bool shards_assigned_ = false;
  bool draining_ = false;
  bool stopped_ = false;
  std::optional<stop_watch> stop_watch_;
  time_point drain_deadline_{};
  timer_handle review_timer_;
};

}  // namespace crocusdoor

#pragma once

#include <map>
#include <memory>
#include <set>

#include "daemon/peer_mesh.h"
#include "sidecar/configuration_exchange.h"
#include "sidecar/crash_count_exchange.h"
#include "sidecar/entry_writer.h"
#include "sidecar/inbound_gateway.h"
#include "sidecar/outbound_services.h"
#include "sidecar/peer_finder.h"
#include "sidecar/planned_stop.h"
#include "sidecar/quota_exchange.h"
#include "sidecar/registration_server.h"
#include "sidecar/rollout_service.h"
#include "sidecar/sidecar_context.h"
#include "sidecar/suspicion_api.h"
#include "transport/http_server.h"

namespace crocusdoor {

/// All parts of one sidecar, connected with each other.
class sidecar_daemon {
 public:
  /// Throws std::runtime_error if an address cannot be bound.
  sidecar_daemon(event_loop& loop, sidecar_settings options, platform_contract contract,
                 std::unique_ptr<mesh_store> store,
                 std::unique_ptr<rollout_store> rollouts = nullptr);
  ~sidecar_daemon();
  sidecar_daemon(const sidecar_daemon&) = delete;
  sidecar_daemon& operator=(const sidecar_daemon&) = delete;

  void start();
  /// Applies the settings that can change while the process runs.
  void reload(const sidecar_settings& options);
  /// Reports that this daemon is not ready, continues to serve requests until callers have noticed,
  /// finishes the requests that were read and stops the loop.
  void begin_stop();

  /// Adds another daemon that is not listed in the store.
  void introduce_peer(const instance_name& name, const ip_endpoint& endpoint);

  [[nodiscard]] decision_log& log() noexcept { return log_; }
  /// Whether callers may send requests here.
  [[nodiscard]] bool ready() const;
  /// 0 before the first configuration.
  [[nodiscard]] std::uint64_t configuration_version() const { return configurations_->version(); }
  /// Whether requests with the API keys of the configuration run.
  [[nodiscard]] bool proves_configuration() const {
    return configurations_->freshness().proof().admits;
  }
  /// Upstreams of a service that take requests, as this daemon knows them.
  [[nodiscard]] std::size_t available_upstreams(const service_name& service) const {
    return upstreams_.available(service);
  }
  [[nodiscard]] bool knows_peer(const instance_name& name) const {
    return finder_->find(name).has_value();
  }
  /// Whether this daemon waits for changes at the store and forwards them.
  [[nodiscard]] bool is_watcher() const { return configurations_->is_watcher(); }
  /// Whether this daemon decides on the rollouts.
  [[nodiscard]] bool decides_rollouts() const { return rollouts_->decides(); }
  [[nodiscard]] const ip_endpoint& peer_endpoint() const { return options_.listen.peers; }

 private:
  [[nodiscard]] instance_record self_record() const;
  peer_mesh::configuration mesh_settings() const;
  peer_mesh::handlers mesh_handlers();
  void connect_dispatcher();
  void peer_introduced(const instance_name& peer, const instance_record& record);
  void record_received(const instance_name& peer, const instance_record& record);
  void entries_listed(const daemon_listing& listing);
  /// A departure of the target beside an instance has become known. Returns whether it was new.
  bool departure_received(const wire::target_departed& content);
  void send_departures(const instance_name& peer, const instance_name& instance);
  void peer_lost(const instance_name& peer, const std::string& reason);
  void store_era_changed(const era_change& change);
  void call_cancelled(const instance_name& to, wire::request_id id, bool sent);
  void status_changed();
  void configuration_adopted(const route_table_pointer& table);
  void answer_readiness(http_exchange& exchange);
  void answer_metrics(http_exchange& exchange);
  void log_memory(const buffer_manager::refusal_counts& refusals);
  void log_connections();
  void log_traffic();
  void measure_loop_delay();

  event_loop& loop_;
  sidecar_settings options_;
  platform_contract contract_;
  retry_limit retry_limit_;
  std::unique_ptr<mesh_store> store_;
  random_source random_;
  metrics counters_;
  crash_counts crashes_;
  decision_log log_;
  start_timeline start_;
  std::shared_ptr<buffer_manager> buffers_;
  sidecar_context shared_;
  std::unique_ptr<body_sender> bodies_;
  std::set<instance_name> streaming_peers_;  ///< They ask for bodies that follow their calls.
  upstream_pool upstreams_;
  weighted_rotation rotation_;
  std::map<service_name, retry_window> retries_;
  std::unique_ptr<peer_mesh> mesh_;
  std::unique_ptr<entry_writer> entry_;
  std::unique_ptr<crash_count_exchange> crash_exchange_;
  std::unique_ptr<peer_finder> finder_;
  std::unique_ptr<quota_exchange> quotas_;
  std::unique_ptr<configuration_exchange> configurations_;
  std::unique_ptr<inbound_gateway> gateway_;
  rollout_table rollout_table_;
  std::unique_ptr<rollout_service> rollouts_;
  std::unique_ptr<call_router> router_;
  std::unique_ptr<outbound_services> services_;
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> readiness_;
  std::unique_ptr<suspicion_api> suspicion_api_;
  std::unique_ptr<http_server> metrics_server_;
  std::unique_ptr<registration_server> registration_;
  unclaimed_responses unclaimed_;
  std::unique_ptr<planned_stop> stop_;
  /// Incarnation and sequence number of the newest record of each peer.
  std::map<instance_name, std::pair<std::uint64_t, std::uint64_t>> newest_records_;
  /// Departures of the target beside each instance, including this one.
  std::map<instance_name, target_departures> departures_;
  std::uint64_t record_sequence_ = 1;
  time_point era_reported_until_{};  ///< Heartbeats state the era of the store until then.
  timer_handle traffic_log_timer_;
  timer_handle connection_log_timer_;
  connection_counts logged_connections_;
  timer_handle loop_delay_timer_;
  time_point loop_delay_due_{};
};

}  // namespace crocusdoor

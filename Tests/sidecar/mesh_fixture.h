#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/contract.h"
#include "rollout_test_store.h"
#include "sidecar/sidecar_daemon.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace crocusdoor {

/// Contents of the platform's store, kept in the memory of the test.
struct store_contents {
  /// What an older copy of the store contains.
  struct copy {
    std::uint64_t revision = 1;
    std::string document;
    std::map<instance_name, daemon_entry> daemons;
    std::map<instance_name, std::uint64_t> daemon_revisions;
  };

  [[nodiscard]] copy take_copy() const { return {revision, document, daemons, daemon_revisions}; }
  /// Returns to an older copy with a new era.
  void go_back(const copy& older);

  bool reachable = true;
  std::set<instance_name> turned_away;  ///< Daemons that the store refuses.
  /// Number of further changes of entries that get no response and are executed late.
  int late_writes = 0;
  /// Called once after the next change of an entry, before its response.
  std::function<void()> after_write;
  std::uint64_t revision = 1;
  std::uint64_t era = 0;                  ///< Stated in each response.
  int calls = 0;                          ///< Number of calls to the store, watches included.
  int waiting = 0;                        ///< Number of waiting watches.
  std::uint64_t last_watch_revision = 0;  ///< Revision from which the latest watch waits.
  std::string document;
  std::map<instance_name, daemon_entry> daemons;
  std::map<instance_name, std::uint64_t> daemon_revisions;
  std::optional<rollout_order> rollout;
  std::uint64_t status_writes = 0;
  int waiting_rollout_watches = 0;
};

/// A client of the store of a test. A watch responds at the end of its wait or within 10 ms after a
/// change.
class test_store : public mesh_store {
 public:
  test_store(event_loop& loop, store_contents& contents, instance_name client)
      : loop_(loop), contents_(contents), client_(std::move(client)) {}

  void read_configuration(configuration_callback done) override;
  void close_idle_connections() override {}
  void watch_configuration(std::uint64_t revision, duration wait,
                           configuration_callback done) override;
  void cancel_watch() override;
  void list_daemons(listing_callback done) override;
  void read_daemon(const instance_name& name, write_callback done) override;
  void announce_daemon(const daemon_entry& entry, outcome_callback done) override;
  void replace_daemon(const daemon_entry& entry, std::uint64_t revision,
                      write_callback done) override;
  void withdraw_daemon(const instance_name& name, outcome_callback done) override;

 private:
  [[nodiscard]] bool reachable() const {
    return contents_.reachable && !contents_.turned_away.contains(client_);
  }
  [[nodiscard]] configuration_read_result current_configuration() const;
  /// Whether the client may use a response that is sent now. Calls the client's handler of eras.
  [[nodiscard]] bool responds() { return reachable() && response_is_current(contents_.era); }
  /// Calls `respond` after the latency of the store.
  void respond(std::function<void()> response);
  [[nodiscard]] daemon_write write(const daemon_entry& entry, std::uint64_t revision);

  event_loop& loop_;
  store_contents& contents_;
  instance_name client_;
  timer_handle watch_timer_;
  std::vector<timer_handle> response_timers_;
};

/// A target with its sidecar, on the loopback interface.
class test_instance {
 public:
  using behaviour = std::function<void(const std::shared_ptr<http_exchange>&)>;

  test_instance(event_loop& loop, store_contents& contents, std::string name,
                const std::string& service);

  /// Sends a response of the target, with its seal and the request's id.
  void respond(http_exchange& exchange, int status, const std::string& body) const;
  /// Sends a heartbeat of the target with this state.
  void announce(const std::string& state);
  /// Sends a heartbeat with the given sequence number, which may be an earlier one.
  void announce_with_sequence(const std::string& state, std::uint64_t sequence);
  /// Sends the withdrawal of the target. Returns the status of the response.
  int withdraw();
  /// Sends a heartbeat as `announce_with_sequence`. Returns the status of the response.
  int send_heartbeat(const std::string& state, std::uint64_t sequence);
  /// Sends a message to the registration address. Returns the status of the response.
  int send_registration(const std::string& method, const json& body);
  /// A successor of the target starts at the same address, with an id of its own.
  void replace_target(const std::string& new_id);
  /// Replaces the daemon by a newly constructed one, as after a crash.
  void restart_daemon();
  /// Replaces the daemon by one with other settings.
  void restart_daemon_with(const std::function<void(sidecar_settings&)>& change);
  /// Ends the target with all its connections and refuses new ones.
  void crash_target();
  /// Ends the target with all its connections. Its address accepts new ones, which get no response.
  void crash_target_keeping_its_address_open();
  /// Starts the target again at the same address after a crash. Its heartbeats state a later start.
  void restart_target();
  /// Version of the target's software in its heartbeats.
  std::string version = "v1";
  /// Allows rollouts; the daemon must be restarted for this to take effect.
  void allow_rollouts(double exposure_share, double exposure_slack) {
    options_.bounds.exposure_share = exposure_share;
    options_.bounds.exposure_slack = exposure_slack;
  }
  [[nodiscard]] std::uint16_t callers_port() const { return options_.listen.callers.port; }

  [[nodiscard]] const ip_endpoint& metrics_endpoint() const { return options_.listen.metrics; }

  std::string name;
  std::string id;  ///< Of the target.
  std::string service;
  std::vector<http_request> received;  ///< Requests that the target has received.
  behaviour on_request;
  std::unique_ptr<http_server> target;
  std::unique_ptr<sidecar_daemon> daemon;
  std::unique_ptr<http_client> caller;
  std::unique_ptr<http_client> registration;
  std::unique_ptr<http_client> readiness;

 private:
  void listen_as_target(std::uint16_t port);
  /// Listens at the target's address without responding.
  void listen_without_responding(std::uint16_t port);

  event_loop& loop_;
  store_contents& contents_;
  sidecar_settings options_;
  std::vector<std::shared_ptr<http_exchange>> unanswered_;
  std::uint64_t sequence_ = 0;
  std::uint64_t born_ms_ = 1'700'000'000'000U;  ///< Start of the target, in its heartbeats.
};

/// Several instances on one event loop, with a configuration in their store.
class mesh_fixture {
 public:
  test_instance& add(const std::string& name, const std::string& service);
  /// Writes a configuration with a route "/safe/" and a route "/once/" to the service "s".
  void configure(std::uint64_t version, const std::string& service,
                 std::chrono::milliseconds timeout = std::chrono::milliseconds(2'000));
  /// Starts all instances and waits until they are ready and each has all upstreams.
  void start();
  /// Ends all daemons at once, starts them again and waits until they are ready.
  void restart_all_daemons();
  http_result call(test_instance& origin, const std::string& method, const std::string& path,
                   const std::string& body = "", const http_headers& headers = {});
  bool run_until(const std::function<bool()>& condition);
  /// Runs the loop until the condition holds, but no longer than `limit`. Returns whether it holds.
  bool run_for(duration limit, const std::function<bool()>& condition);

  event_loop loop;
  store_contents store;
  std::vector<std::unique_ptr<test_instance>> instances;
  /// Workspaces of the next configuration. With workspaces it also has a route "/open/".
  json workspaces = json::array();
  /// Largest body of a request in the next configuration.
  std::size_t body_limit_bytes = 1'000'000;

 private:
  [[nodiscard]] std::set<std::string> services() const;

  int calls_ = 0;
};

}  // namespace crocusdoor

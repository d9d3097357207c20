#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "child_process.h"
#include "core/record_codec.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace crocusdoor::test {

/// One instance of a test mesh: a target and its daemon.
struct test_instance {
  std::string name;
  std::string domain;
  std::string service;
  std::uint16_t target_port = 0;
  std::uint16_t caller_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t api_port = 0;
  std::unique_ptr<child_process> target;
  std::unique_ptr<child_process> daemon;
};

/// A request sent without waiting; `result` is valid once `done` is set.
struct outstanding_request {
  http_result result;
  bool done = false;
};

/// A platform stand-in, targets and daemons as processes on loopback. A wait ends as soon as its
/// condition holds; its timeout is long and only ends a test that hangs.
class mesh_under_test {
 public:
  /// Starts an instance for each element of `services`, which names its service. Instances are
  /// assigned to three failure domains in turn.
  explicit mesh_under_test(const std::vector<std::string>& services, int service_time_ms = 1);

  [[nodiscard]] std::vector<test_instance>& instances() noexcept { return instances_; }
  [[nodiscard]] test_instance& instance(std::size_t index) { return instances_.at(index); }

  void start_daemon(test_instance& member);
  void start_target(test_instance& member);
  void restart_platform();
  void stop_platform() { platform_->kill(); }

  /// Sends a request to a loopback port and waits for the result.
  http_result send(std::uint16_t port, http_request request);
  /// Sends a request to a loopback port without waiting for the result.
  std::shared_ptr<outstanding_request> start(std::uint16_t port, http_request request);
  void wait_for(const std::vector<std::shared_ptr<outstanding_request>>& requests);
  /// Runs the loop until `condition` holds; returns false if it does not hold within the timeout.
  bool wait_until(const std::function<bool()>& condition);
  void run_for(duration span);
  /// Waits until at least one event is ready and handles the events that are.
  void run_loop_once() { loop_.run_once(); }

  json get_json(std::uint16_t port, const std::string& path);
  void control_platform(const json& settings);

  /// Plans and confirms the intents of `document` at an instance; returns the confirmed version.
  std::uint64_t apply_intents(const json& document, std::size_t instance_index = 0);
  http_result make_plan(const json& document, std::size_t instance_index);
  /// Waits until every running daemon is ready with `version` or a later one.
  bool wait_until_in_force(std::uint64_t version);
  /// Waits until each running daemon lists at least as many ready instances as daemons run.
  bool wait_until_ready();
  /// Current configuration version of an instance; 0 if its daemon is not ready.
  [[nodiscard]] std::uint64_t version_of(test_instance& member);

  /// Number of executions for each idempotency key, summed over all targets.
  std::map<std::string, int> executions();

  /// Number of calls to the platform stand-in since its start, by kind.
  json platform_counts();

  [[nodiscard]] event_loop& loop() noexcept { return loop_; }

 private:
  std::uint16_t take_port();
  std::string write_settings(const test_instance& member);

  event_loop loop_;
  std::string directory_;
  std::uint16_t next_port_;
  std::uint16_t platform_port_ = 0;
  int service_time_ms_;
  std::unique_ptr<child_process> platform_;
  std::vector<test_instance> instances_;
  std::map<std::uint16_t, std::unique_ptr<http_client>> clients_;
};

/// Returns intents that put each service, with a route on `/<service>` and a run-once action
/// `<service>-once` on `/<service>/once` with the key in the header Idempotency-Key.
[[nodiscard]] json basic_intents(const std::vector<std::string>& services);

}  // namespace crocusdoor::test

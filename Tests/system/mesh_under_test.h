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

/// One instance of a test mesh: a target and the daemon beside it.
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

/// Requests that may be outstanding at the same time, each with its own result.
struct outstanding_request {
  http_result result;
  bool done = false;
};

/// A platform stand-in, targets and daemons as processes on loopback. Waits end when their
/// condition holds; the generous limit only ends a test that hangs.
class mesh_under_test {
 public:
  /// `services` gives the service of each instance; instances take turns in three failure domains.
  explicit mesh_under_test(const std::vector<std::string>& services, int service_time_ms = 1);

  [[nodiscard]] std::vector<test_instance>& instances() noexcept { return instances_; }
  [[nodiscard]] test_instance& instance(std::size_t index) { return instances_.at(index); }

  void start_daemon(test_instance& one);
  void start_target(test_instance& one);
  void restart_platform();
  void stop_platform() { platform_->kill(); }

  /// Sends a request and waits for its end.
  http_result send(std::uint16_t port, http_request request);
  /// Sends a request without waiting.
  std::shared_ptr<outstanding_request> start(std::uint16_t port, http_request request);
  void wait_for(const std::vector<std::shared_ptr<outstanding_request>>& requests);
  /// Runs the loop until the condition holds; false if it does not hold in time.
  bool wait_until(const std::function<bool()>& condition);
  void run_for(duration span);
  /// Waits for events once and handles them.
  void run_one_turn() { loop_.run_once(); }

  json get_json(std::uint16_t port, const std::string& path);
  void control_platform(const json& settings);

  /// Plans and confirms a document at an instance; returns the version.
  std::uint64_t apply_intents(const json& document, std::size_t instance_index = 0);
  http_result make_plan(const json& document, std::size_t instance_index);
  /// Waits until every running daemon serves the version.
  bool wait_in_force(std::uint64_t version);
  /// Waits until each daemon knows so many instances as ready.
  bool wait_ready();
  [[nodiscard]] std::uint64_t version_of(test_instance& one);

  /// Executions by idempotency key, over all targets.
  std::map<std::string, int> executions();

  /// Calls that the platform has counted since its start, by kind.
  json platform_counts();

  [[nodiscard]] event_loop& loop() noexcept { return loop_; }

 private:
  std::uint16_t take_port();
  std::string write_settings(const test_instance& one);

  event_loop loop_;
  std::string folder_;
  std::uint16_t next_port_;
  std::uint16_t platform_port_ = 0;
  int service_time_ms_;
  std::unique_ptr<child_process> platform_;
  std::vector<test_instance> instances_;
  std::map<std::uint16_t, std::unique_ptr<http_client>> clients_;
};

/// Intents for services with one route each (`/<service>`), and a run-once action `<service>-once`
/// on `/<service>/once` with the key in the header Idempotency-Key.
[[nodiscard]] json basic_intents(const std::vector<std::string>& services);

}  // namespace crocusdoor::test

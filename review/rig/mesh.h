#pragma once

#include <sys/types.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"
#include "store.h"
#include "upstream.h"

namespace review {

/// A machine of a small deployment: its loopback address and what runs on it.
struct machine {
  std::string name;
  std::string ip;
  std::string service;
  std::string zone;
  [[nodiscard]] endpoint address(std::uint16_t port) const { return {ip, port}; }
};

/// Ports are the same on all machines, whose addresses differ.
namespace ports {
inline constexpr std::uint16_t outbound = 18'629;
inline constexpr std::uint16_t inbound = 18'624;
inline constexpr std::uint16_t ready = 18'625;
inline constexpr std::uint16_t control = 18'620;
inline constexpr std::uint16_t upstream = 18'628;
inline constexpr std::uint16_t store = 18'627;
inline constexpr std::uint16_t first_peer = 17'600;
}  // namespace ports

/// The bounds of the deployments of the platform's pages.
namespace bounds {
inline constexpr milliseconds contact{3'000};
inline constexpr milliseconds drain{2'000};
inline constexpr milliseconds config_apply{2'000};
inline constexpr milliseconds max_skew{5'000};
inline constexpr milliseconds grace{6'000};
}  // namespace bounds

/// One sidecar as a separate process, started with the command of the deploy file.
class sidecar {
 public:
  sidecar(record& log, const machine& host, std::string folder);
  ~sidecar();
  sidecar(const sidecar&) = delete;
  sidecar& operator=(const sidecar&) = delete;

  void start();
  void signal(int number);
  /// Kills the process and waits for its end.
  void kill();
  [[nodiscard]] bool ready() const;
  /// Memory in use in KiB; 0 if the process does not run.
  [[nodiscard]] long memory_kib() const;
  /// Whether the process has ended by itself.
  [[nodiscard]] bool ended();

 private:
  void write_settings() const;

  record& log_;
  machine host_;
  std::string folder_;
  pid_t process_ = 0;
};

/// A request of a client.
struct client_request {
  std::string method = "GET";
  std::string host;
  std::string path;
  std::string id;
  milliseconds deadline{1'000};
  std::string body;
  std::string user = {};  ///< Sent as the header X-User if it is not empty.
  [[nodiscard]] std::string text() const;
};

/// A small deployment: the store and, on each machine, a sidecar and an upstream.
class mesh {
 public:
  /// Machine i has the service `services[i]`; all are in one zone.
  mesh(record& log, const std::vector<std::string>& services);
  ~mesh();
  mesh(const mesh&) = delete;
  mesh& operator=(const mesh&) = delete;

  void start(const nlohmann::json& configuration, const upstream_options& pattern = {});
  /// Waits until all sidecars are ready and each has served a request on a route.
  [[nodiscard]] bool wait_until_serving(const client_request& request, milliseconds limit);
  [[nodiscard]] http_message send(std::size_t machine, const client_request& request);

  [[nodiscard]] std::size_t size() const { return machines_.size(); }
  [[nodiscard]] const machine& host(std::size_t index) const { return machines_.at(index); }
  [[nodiscard]] sidecar& node(std::size_t index) { return *sidecars_.at(index); }
  [[nodiscard]] upstream& target(std::size_t index) { return *upstreams_.at(index); }
  /// Ends the upstream on a machine without notice, as in a crash.
  void crash_target(std::size_t index);
  /// Starts another upstream on the machine. `id` is that of the new start.
  void start_target(std::size_t index, const std::string& id, bool sends_heartbeats);
  /// Replaces an upstream by one each n-th answer of which has no end.
  void spoil_target(std::size_t index, int endless_every);
  [[nodiscard]] review::store& platform() { return *store_; }

 private:
  record& log_;
  std::string folder_;
  std::vector<machine> machines_;
  std::unique_ptr<review::store> store_;
  std::vector<std::unique_ptr<sidecar>> sidecars_;
  upstream_options pattern_;
  std::vector<std::unique_ptr<upstream>> upstreams_;
};

/// A configuration as an operator writes it, with the limits of the platform's pages.
nlohmann::json configuration(int version, const nlohmann::json& routes,
                             const std::set<std::string>& services);
nlohmann::json route(const std::string& name, const std::string& host, const std::string& prefix,
                     const std::string& type, milliseconds timeout, const std::string& service);

/// Whether the case runs with its disruption; false with TROUBLE=0.
bool with_trouble();

/// Results of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// Runs a case with the record named by the first argument.
int run_case(int count, char** values, int (*play)(record&));

}  // namespace review

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <thread>

#include "core/record_codec.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace crocusdoor::test {

/// Ports of a sidecar and of its store and target on loopback.
struct sidecar_ports {
  std::uint16_t callers = 0;
  std::uint16_t readiness = 0;
  std::uint16_t registration = 0;
  std::uint16_t peers = 0;
  std::uint16_t metrics = 0;
  std::uint16_t store = 0;
  std::uint16_t target = 0;
};

/// Properties of the target beside the sidecar.
struct target_pattern {
  int slots = 1'000;
  std::chrono::milliseconds work{0};
  bool closes_connections = false;  ///< Whether each response ends its connection.
};

/// The store and the target of one sidecar, on a thread of their own. The store holds one
/// configuration with the limit on bodies and a route for all paths. The target sends heartbeats.
class surroundings {
 public:
  surroundings(const sidecar_ports& ports, target_pattern pattern, std::size_t body_limit_bytes);
  ~surroundings();
  surroundings(const surroundings&) = delete;
  surroundings& operator=(const surroundings&) = delete;

 private:
  void run();
  void answer_store(const std::shared_ptr<http_exchange>& exchange);
  void answer_target(const std::shared_ptr<http_exchange>& exchange);
  void send_heartbeat(http_client& registration);

  sidecar_ports ports_;
  target_pattern pattern_;
  json configuration_;
  json entry_;
  event_loop loop_;
  std::vector<timer_handle> delays_;
  std::uint64_t heartbeats_ = 0;
  std::uint64_t born_ms_;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

}  // namespace crocusdoor::test

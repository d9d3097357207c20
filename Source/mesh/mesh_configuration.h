#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "configuration/route.h"
#include "core/strong_string.h"

namespace crocusdoor {

/// A service that a route sends to and its share of the requests.
struct weighted_service {
  service_name service;
  std::int32_t weight = 1;
  friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// Route for the requests to one host whose path begins with a prefix: the services that they go
/// to, and the limits on their time and attempts.
struct mesh_route {
  route_name name;
  std::string host;
  std::string path_prefix;                 ///< Begins and ends with a slash.
  std::vector<weighted_service> services;  ///< At least one.
  bool idempotent = false;                 ///< Whether a request may run more than once.
  std::chrono::milliseconds timeout_ms{0};
  std::chrono::milliseconds latency_objective_ms{0};
  std::int32_t attempts = 1;  ///< Maximum number of upstreams that one request is sent to.
  std::int32_t rank = 0;      ///< 0 is the most urgent.
  friend bool operator==(const mesh_route&, const mesh_route&) = default;
};

struct mesh_service {
  service_name name;
  std::string health_path;
  std::int32_t connection_limit = 1;  ///< Connections to one upstream from all callers together.
  friend bool operator==(const mesh_service&, const mesh_service&) = default;
};

/// Limits on the size of callers' requests and on the time that callers may take.
struct caller_limits {
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 0;
  std::chrono::milliseconds header_timeout_ms{0};
  std::chrono::milliseconds idle_timeout_ms{0};
  friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// One complete version of the configuration that operators have decided on.
struct mesh_configuration {
  std::uint64_t version = 0;
  std::vector<mesh_route> routes;
  std::vector<mesh_service> services;
  caller_limits limits;
  friend bool operator==(const mesh_configuration&, const mesh_configuration&) = default;
};

}  // namespace crocusdoor

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "configuration/route.h"
#include "core/strong_string.h"

namespace crocusdoor {

/// Name of a workspace.
using workspace_name = strong_string<struct workspace_name_tag>;

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
  bool large_responses = false;            ///< Whether most of its responses are large.
  bool open_to_all = false;                ///< Whether its requests need no API key.
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

/// Callers that share API keys, a quota and a rank.
struct mesh_workspace {
  workspace_name name;
  std::vector<std::string> api_keys;
  std::int32_t rank = 0;  ///< 0 is the most urgent; counts before the rank of a route.
  /// Requests per second over all daemons together; 0 is no limit.
  double rate_per_s = 0;
  double burst = 0;  ///< Requests that may exceed the rate after a pause.
  friend bool operator==(const mesh_workspace&, const mesh_workspace&) = default;
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
  /// Without workspaces no request needs an API key.
  std::vector<mesh_workspace> workspaces;
  friend bool operator==(const mesh_configuration&, const mesh_configuration&) = default;
};

}  // namespace crocusdoor

#pragma once

#include <cstddef>
#include <cstdint>

#include "core/strong_string.h"
#include "core/time.h"

namespace crocusdoor {

/// A target as a member of a service.
struct upstream {
  instance_name instance;
  failure_domain domain;
  region_name region;
  std::int32_t slots = 1;  ///< Requests the target runs at the same time.
  time_point ready_since;  ///< When it became ready; start of the ramp of a cold target.
  friend bool operator==(const upstream&, const upstream&) = default;
};

/// Location of a process that calls a service.
struct caller_location {
  instance_name instance;
  failure_domain domain;
  region_name region;
  friend bool operator==(const caller_location&, const caller_location&) = default;
};

/// What limits the connections to the upstreams of a service.
struct connection_limits {
  std::int32_t connections_per_upstream = 100;  ///< Connections that a target accepts.
  std::size_t callers = 0;                      ///< Processes that call the service; 0: unknown.
  friend bool operator==(const connection_limits&, const connection_limits&) = default;
};

/// What a caller knows of an upstream, for status pages.
struct upstream_state {
  service_name service;
  instance_name instance;
  double weight = 1;           ///< Share of its normal traffic, from 0 to 1.
  duration latency{0};         ///< Estimated latency; zero before the first response.
  std::int32_t in_flight = 0;  ///< Requests of this caller without a response.
  double estimated_load = 0;   ///< Requests that run or wait at the target.
  bool slow = false;           ///< Avoided because it is slower than the others.
  bool unreachable = false;    ///< Avoided because connections failed.
};

}  // namespace crocusdoor

#pragma once

#include <chrono>
#include <cstdint>

#include "configuration/decision_record.h"
#include "core/record_codec.h"
#include "core/strong_string.h"

namespace crocusdoor {

/// A set of upstreams that serve the same requests, and the limits for starting and draining its
/// targets.
struct service {
  service_name name;
  std::int32_t slots_per_upstream = 1;          ///< Requests that a target runs concurrently.
  std::int32_t connections_per_upstream = 100;  ///< Connections that a target accepts.
  std::chrono::milliseconds ramp_ms{10'000};    ///< Time until a started target gets its full load.
  std::chrono::milliseconds drain_limit_ms{30'000};  ///< Maximum time for draining a target.
  decision_record decision;
  friend bool operator==(const service&, const service&) = default;
};

template <>
struct record_fields<service> {
  static constexpr auto table = std::make_tuple(
      required_field("name", &service::name),
      required_field("slots_per_upstream", &service::slots_per_upstream, {1, 10'000}),
      optional_field("connections_per_upstream", &service::connections_per_upstream, {1, 100'000}),
      optional_field("ramp_ms", &service::ramp_ms, {0, 600'000}),
      optional_field("drain_limit_ms", &service::drain_limit_ms, {100, 3'600'000}),
      required_field("decision", &service::decision));
};

}  // namespace crocusdoor

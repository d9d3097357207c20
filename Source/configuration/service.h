#pragma once

#include <chrono>
#include <cstdint>

#include "configuration/decision_record.h"
#include "core/record_codec.h"
#include "core/strong_string.h"

namespace crocusdoor {

/// A set of upstreams that answer the same calls, and how its targets enter and leave.
struct service {
  service_name name;
  std::int32_t slots_per_upstream = 1;          ///< Requests a target runs at the same time.
  std::int32_t connections_per_upstream = 100;  ///< Connections a target accepts.
  std::chrono::milliseconds ramp_ms{10'000};    ///< Time in which a cold target reaches full load.
  std::chrono::milliseconds drain_limit_ms{30'000};  ///< Longest time a leaving target may drain.
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

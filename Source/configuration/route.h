#pragma once

#include <chrono>
#include <string>

#include "configuration/decision_record.h"
#include "core/enum_names.h"
#include "core/record_codec.h"
#include "core/strong_string.h"

namespace crocusdoor {

/// Name of a route.
using route_name = strong_string<struct route_name_tag>;

/// Scheduling class of a request at the target's daemon.
enum class priority_class {
  interactive,  ///< A person is waiting for the response.
  bulk,         ///< May be queued behind interactive requests.
};

template <>
struct enum_names<priority_class> {
  static constexpr auto names = make_enum_names<priority_class>({
      {priority_class::interactive, "interactive"},
      {priority_class::bulk, "bulk"},
  });
};

/// Routes requests whose path starts with a prefix to a service; the longest prefix is used.
struct route {
  route_name name;
  std::string path_prefix;  ///< Starts with "/"; matches whole path segments.
  service_name service;
  std::chrono::milliseconds timeout_ms{10'000};  ///< Timeout of a request without a deadline.
  priority_class priority = priority_class::interactive;
  bool idempotent_writes = false;  ///< Whether methods other than GET and HEAD may be repeated.
  decision_record decision;
  friend bool operator==(const route&, const route&) = default;
};

template <>
struct record_fields<route> {
  static constexpr auto table = std::make_tuple(
      required_field("name", &route::name), required_field("path_prefix", &route::path_prefix),
      required_field("service", &route::service),
      optional_field("timeout_ms", &route::timeout_ms, {1, 3'600'000}),
      optional_field("priority", &route::priority),
      optional_field("idempotent_writes", &route::idempotent_writes),
      required_field("decision", &route::decision));
};

}  // namespace crocusdoor

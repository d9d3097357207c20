#pragma once

#include "core/record_codec.h"
#include "mesh/configuration_change.h"
#include "mesh/mesh_configuration.h"

/// Encoding of configurations in messages between daemons.
namespace crocusdoor {

template <>
struct record_fields<weighted_service> {
  static constexpr auto table =
      std::make_tuple(required_field("service", &weighted_service::service),
                      required_field("weight", &weighted_service::weight, {0, 1'000'000}));
};

template <>
struct record_fields<mesh_route> {
  using record = mesh_route;
  static constexpr auto table = std::make_tuple(
      required_field("name", &record::name), required_field("host", &record::host),
      required_field("prefix", &record::path_prefix), required_field("services", &record::services),
      required_field("idempotent", &record::idempotent),
      required_field("timeout_ms", &record::timeout_ms),
      required_field("objective_ms", &record::latency_objective_ms),
      required_field("attempts", &record::attempts), required_field("rank", &record::rank),
      optional_field("large_responses", &record::large_responses),
      optional_field("open_to_all", &record::open_to_all));
};

template <>
struct record_fields<mesh_workspace> {
  using record = mesh_workspace;
  static constexpr auto table = std::make_tuple(
      required_field("name", &record::name), required_field("api_keys", &record::api_keys),
      required_field("rank", &record::rank), required_field("rate_per_s", &record::rate_per_s),
      required_field("burst", &record::burst));
};

template <>
struct record_fields<mesh_service> {
  static constexpr auto table =
      std::make_tuple(required_field("name", &mesh_service::name),
                      required_field("health_path", &mesh_service::health_path),
                      required_field("connection_limit", &mesh_service::connection_limit));
};

template <>
struct record_fields<caller_limits> {
  static constexpr auto table =
      std::make_tuple(required_field("header_bytes", &caller_limits::header_bytes),
                      required_field("body_bytes", &caller_limits::body_bytes),
                      required_field("header_timeout_ms", &caller_limits::header_timeout_ms),
                      required_field("idle_timeout_ms", &caller_limits::idle_timeout_ms));
};

template <>
struct record_fields<mesh_configuration> {
  using record = mesh_configuration;
  static constexpr auto table = std::make_tuple(
      required_field("version", &record::version), required_field("routes", &record::routes),
      required_field("services", &record::services), required_field("limits", &record::limits),
      optional_field("workspaces", &record::workspaces));
};

template <>
struct record_fields<route_key> {
  static constexpr auto table = std::make_tuple(required_field("host", &route_key::host),
                                                required_field("prefix", &route_key::path_prefix));
};

template <>
struct record_fields<configuration_change> {
  using record = configuration_change;
  static constexpr auto table = std::make_tuple(
      required_field("base", &record::base_version), required_field("version", &record::version),
      required_field("changed", &record::changed), required_field("removed", &record::removed),
      required_field("services", &record::services), required_field("limits", &record::limits),
      required_field("fingerprint", &record::fingerprint),
      optional_field("workspaces", &record::workspaces));
};

}  // namespace crocusdoor

#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/record_codec.h"
#include "daemon/settings.h"
#include "transport/ip_endpoint.h"

namespace crocusdoor {

/// Addresses on which a sidecar listens. Other daemons connect to `peers`.
struct sidecar_listeners {
  ip_endpoint callers;
  ip_endpoint readiness;
  ip_endpoint registration;  ///< Heartbeats of the target.
  ip_endpoint peers;
  ip_endpoint metrics;
  friend bool operator==(const sidecar_listeners&, const sidecar_listeners&) = default;
};

/// The target beside the sidecar.
struct sidecar_target {
  ip_endpoint endpoint;
  service_name service;
  friend bool operator==(const sidecar_target&, const sidecar_target&) = default;
};

/// Requirements of the platform on the mesh.
struct sidecar_bounds {
  /// From the withdrawal of a target until it receives no requests.
  std::chrono::milliseconds drain_ms{2'000};
  std::chrono::seconds stop_s{6};  ///< From SIGTERM until the process is killed.
  double retry_ratio = 0.2;        ///< Retries for each request, over all daemons.
  double retry_slack = 0;          ///< Additional retries, over all daemons.
  std::chrono::seconds retry_window_s{10};
  friend bool operator==(const sidecar_bounds&, const sidecar_bounds&) = default;
};

struct sidecar_link_settings {
  std::chrono::milliseconds heartbeat_interval_ms{250};
  /// A link on which nothing arrives for longer is closed.
  std::chrono::milliseconds silence_limit_ms{800};
  friend bool operator==(const sidecar_link_settings&, const sidecar_link_settings&) = default;
};

struct sidecar_log_settings {
  log_level minimum_level = log_level::info;
  std::int32_t lines_per_s = 50;  ///< Further lines in a second are dropped and counted.
  friend bool operator==(const sidecar_log_settings&, const sidecar_log_settings&) = default;
};

/// Settings of one sidecar. Durations whose names end in "_ms" are in milliseconds, in "_s" in
/// seconds.
struct sidecar_settings {
  instance_settings instance;
  sidecar_listeners listen;
  sidecar_target target;
  ip_endpoint store;
  sidecar_bounds bounds;
  sidecar_link_settings links;
  sidecar_log_settings log;
  friend bool operator==(const sidecar_settings&, const sidecar_settings&) = default;
};

/// Parses the text of a settings file, JSON with comments. Fails in the same cases as
/// `parse_settings`.
[[nodiscard]] leaf::result<sidecar_settings> parse_sidecar_settings(std::string_view text);

template <>
struct record_fields<sidecar_listeners> {
  using record = sidecar_listeners;
  static constexpr auto table = std::make_tuple(
      required_field("callers", &record::callers), required_field("readiness", &record::readiness),
      required_field("registration", &record::registration),
      required_field("peers", &record::peers), required_field("metrics", &record::metrics));
};

template <>
struct record_fields<sidecar_target> {
  static constexpr auto table =
      std::make_tuple(required_field("endpoint", &sidecar_target::endpoint),
                      required_field("service", &sidecar_target::service));
};

template <>
struct record_fields<sidecar_bounds> {
  using record = sidecar_bounds;
  static constexpr auto table =
      std::make_tuple(optional_field("drain_ms", &record::drain_ms, {0, 600'000}),
                      optional_field("stop_s", &record::stop_s, {1, 3'600}),
                      optional_field("retry_ratio", &record::retry_ratio),
                      optional_field("retry_slack", &record::retry_slack),
                      optional_field("retry_window_s", &record::retry_window_s, {1, 3'600}));
};

template <>
struct record_fields<sidecar_link_settings> {
  using record = sidecar_link_settings;
  static constexpr auto table = std::make_tuple(
      optional_field("heartbeat_interval_ms", &record::heartbeat_interval_ms,
                     detail::span_range_ms),
      optional_field("silence_limit_ms", &record::silence_limit_ms, detail::span_range_ms));
};

template <>
struct record_fields<sidecar_log_settings> {
  using record = sidecar_log_settings;
  static constexpr auto table =
      std::make_tuple(optional_field("minimum_level", &record::minimum_level),
                      optional_field("lines_per_s", &record::lines_per_s, {1, 100'000}));
};

template <>
struct record_fields<sidecar_settings> {
  using record = sidecar_settings;
  static constexpr auto table = std::make_tuple(
      required_field("instance", &record::instance), required_field("listen", &record::listen),
      required_field("target", &record::target), required_field("store", &record::store),
      optional_field("bounds", &record::bounds), optional_field("links", &record::links),
      optional_field("log", &record::log));
};

}  // namespace crocusdoor

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
  /// From the store's response to a new configuration until it is in force everywhere.
  std::chrono::milliseconds configuration_apply_ms{2'000};
  /// Whether a daemon refuses requests with API keys while it cannot tell that its configuration is
  /// recent enough.
  bool fail_closed = false;
  /// From the store's response to a configuration that removes an API key until no request with the
  /// key runs any more, if `fail_closed` is set.
  std::chrono::milliseconds revocation_ms{5'000};
  std::chrono::seconds quota_window_s{5};  ///< Time over which the use of a quota is counted.
  double quota_overage = 0.1;  ///< Fraction by which a quota may be exceeded in one window.
  double quota_slack = 0;      ///< Requests by which a quota may be exceeded in addition.
  /// Largest fraction of a service's requests that a version which is rolled out may get while it
  /// is not known to be good; 0 if the platform has no rollouts.
  double exposure_share = 0;
  double exposure_slack = 0;  ///< Requests that such a version may get in addition.
  /// From the 50th bad response of a version until it gets no more requests.
  std::chrono::milliseconds rollback_ms{5'000};
  friend bool operator==(const sidecar_bounds&, const sidecar_bounds&) = default;
};

/// What this process may use of the machine.
struct sidecar_limits {
  std::int32_t memory_mb = 0;    ///< 0 if it is not known.
  std::int32_t descriptors = 0;  ///< Open files and sockets; 0 for the limit of the system.
  friend bool operator==(const sidecar_limits&, const sidecar_limits&) = default;
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
  sidecar_limits limits;
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
  static constexpr auto table = std::make_tuple(
      optional_field("drain_ms", &record::drain_ms, {0, 600'000}),
      optional_field("stop_s", &record::stop_s, {1, 3'600}),
      optional_field("retry_ratio", &record::retry_ratio),
      optional_field("retry_slack", &record::retry_slack),
      optional_field("retry_window_s", &record::retry_window_s, {1, 3'600}),
      optional_field("configuration_apply_ms", &record::configuration_apply_ms, {1, 600'000}),
      optional_field("fail_closed", &record::fail_closed),
      optional_field("revocation_ms", &record::revocation_ms, {1, 600'000}),
      optional_field("quota_window_s", &record::quota_window_s, {1, 3'600}),
      optional_field("quota_overage", &record::quota_overage),
      optional_field("quota_slack", &record::quota_slack),
      optional_field("exposure_share", &record::exposure_share),
      optional_field("exposure_slack", &record::exposure_slack),
      optional_field("rollback_ms", &record::rollback_ms, {1, 600'000}));
};

template <>
struct record_fields<sidecar_limits> {
  static constexpr auto table =
      std::make_tuple(optional_field("memory_mb", &sidecar_limits::memory_mb, {0, 1'000'000}),
                      optional_field("descriptors", &sidecar_limits::descriptors, {0, 1'000'000}));
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
      optional_field("bounds", &record::bounds), optional_field("limits", &record::limits),
      optional_field("links", &record::links), optional_field("log", &record::log));
};

}  // namespace crocusdoor

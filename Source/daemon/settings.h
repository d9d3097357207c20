#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/enum_names.h"
#include "core/error.h"
#include "core/record_codec.h"
#include "core/strong_string.h"
#include "transport/ip_endpoint.h"

namespace crocusdoor {

/// Name and location of the instance that a daemon belongs to.
struct instance_settings {
  instance_name name;
  failure_domain domain;
  region_name region;
  friend bool operator==(const instance_settings&, const instance_settings&) = default;
};

/// Endpoints at which a daemon listens. Peers connect to the address, so it must not be 0.0.0.0.
struct listen_settings {
  std::string address;
  std::uint16_t caller_port = 7400;  ///< HTTP requests of callers.
  std::uint16_t peer_port = 7401;    ///< Links from other daemons.
  std::uint16_t api_port = 7402;     ///< Intent API, metrics and health.
  friend bool operator==(const listen_settings&, const listen_settings&) = default;
};

/// The daemon's own target.
struct target_settings {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  service_name service;
  std::int32_t slots = 1;          ///< Requests the target runs at the same time.
  std::int32_t connections = 100;  ///< Maximum number of connections to the target.
  std::string health_path = "/health";
  std::chrono::milliseconds health_interval_ms{1'000};
  friend bool operator==(const target_settings&, const target_settings&) = default;
};

/// The platform's object API.
struct platform_settings {
  std::string address;
  std::uint16_t port = 0;
  std::chrono::milliseconds timeout_ms{2'000};      ///< Of each call other than a watch.
  std::chrono::milliseconds watch_wait_ms{30'000};  ///< Maximum duration of one watch call.
  std::int32_t connections = 4;                     ///< Not counting the connection of the watch.
  std::int32_t read_capacity_per_s = 2'000;         ///< Reads per second that the platform accepts.
  std::int32_t read_share_percent = 50;  ///< Share of the capacity that the whole fleet may use.
  friend bool operator==(const platform_settings&, const platform_settings&) = default;
};

/// Daemons that a starting daemon tries first, by their peer ports.
struct peer_settings {
  std::vector<ip_endpoint> seeds;
  friend bool operator==(const peer_settings&, const peer_settings&) = default;
};

struct timing_settings {
  std::chrono::milliseconds heartbeat_interval_ms{1'000};
  std::chrono::milliseconds heartbeat_timeout_ms{
      3'000};  ///< A peer silent for longer becomes suspect.
  std::chrono::milliseconds suspicion_timeout_ms{
      3'000};  ///< An unrefuted suspicion then becomes a death.
  std::chrono::milliseconds reconnect_base_ms{100};      ///< First backoff.
  std::chrono::milliseconds reconnect_limit_ms{10'000};  ///< Maximum backoff.
  std::chrono::milliseconds catch_up_limit_ms{
      250};  ///< Maximum wait for a version that a call needs.
  std::chrono::milliseconds claim_validity_ms{30'000};    ///< Of a run-once claim.
  std::chrono::milliseconds clock_skew_limit_ms{30'000};  ///< Assumed bound between wall clocks.
  std::chrono::milliseconds drain_limit_ms{30'000};       ///< Maximum duration of a drain.
  friend bool operator==(const timing_settings&, const timing_settings&) = default;
};

struct limit_settings {
  std::int32_t queue_length = 200;             ///< Requests waiting for a slot of the target.
  std::int32_t caller_connections = 2'000;     ///< Connections of callers.
  std::int32_t body_bytes = 1'000'000;         ///< Largest request or response body.
  std::int32_t link_output_bytes = 4'000'000;  ///< Unsent output of one link between daemons.
  std::int32_t subset_size = 20;               ///< Upstreams that a daemon uses for a service.
  std::int32_t retry_percent = 10;             ///< Maximum retries as a share of calls.
  std::int32_t memory_mb = 0;                  ///< Memory of the machine; 0 if not known.
  std::int32_t descriptors = 0;    ///< Open files and sockets; 0 for the system's limit.
  std::int32_t hedge_percent = 5;  ///< Maximum hedges as a share of calls.
  friend bool operator==(const limit_settings&, const limit_settings&) = default;
};

enum class log_level { info, warning, error };

template <>
struct enum_names<log_level> {
  static constexpr auto names = make_enum_names<log_level>({
      {log_level::info, "info"},
      {log_level::warning, "warning"},
      {log_level::error, "error"},
  });
};

struct log_settings {
  std::string directory;  ///< Empty for standard error.
  log_level minimum_level = log_level::info;
  friend bool operator==(const log_settings&, const log_settings&) = default;
};

struct trace_settings {
  std::int32_t buffer_spans = 1'000;  ///< Finished spans kept in memory; 0 turns tracing off.
  friend bool operator==(const trace_settings&, const trace_settings&) = default;
};

/// Settings of one daemon, read once when it starts. Durations are in milliseconds.
struct settings {
  instance_settings instance;
  listen_settings listen;
  target_settings target;
  platform_settings platform;
  peer_settings peers;
  timing_settings timing;
  limit_settings limits;
  log_settings log;
  trace_settings trace;
  friend bool operator==(const settings&, const settings&) = default;
};

/// Reads the text of a settings file: JSON with comments. Fails with `error_code::malformed` or
/// `over_limit`; the message has one line for each fault with line, column, JSON pointer, what was
/// found and what is accepted. Unknown keys, duplicate keys, and addresses or ports that are used
/// twice are faults.
[[nodiscard]] leaf::result<settings> parse_settings(std::string_view text);

/// A commented settings file with every key and its default value. It parses; the values that have
/// no default (names, addresses, the target's port) are examples.
[[nodiscard]] std::string default_settings_text();

template <>
struct record_fields<instance_settings> {
  using record = instance_settings;
  static constexpr auto table = std::make_tuple(required_field("name", &record::name),
                                                required_field("domain", &record::domain),
                                                required_field("region", &record::region));
};

namespace detail {
inline constexpr number_range port_range{1, 65'535};
inline constexpr number_range span_range_ms{10, 600'000};
}  // namespace detail

template <>
struct record_fields<listen_settings> {
  using record = listen_settings;
  static constexpr auto table =
      std::make_tuple(required_field("address", &record::address),
                      optional_field("caller_port", &record::caller_port, detail::port_range),
                      optional_field("peer_port", &record::peer_port, detail::port_range),
                      optional_field("api_port", &record::api_port, detail::port_range));
};

template <>
struct record_fields<target_settings> {
  using record = target_settings;
  static constexpr auto table = std::make_tuple(
      optional_field("address", &record::address),
      required_field("port", &record::port, detail::port_range),
      required_field("service", &record::service),
      required_field("slots", &record::slots, {1, 10'000}),
      optional_field("connections", &record::connections, {1, 100'000}),
      optional_field("health_path", &record::health_path),
      optional_field("health_interval_ms", &record::health_interval_ms, detail::span_range_ms));
};

template <>
struct record_fields<platform_settings> {
  using record = platform_settings;
  static constexpr auto table = std::make_tuple(
      required_field("address", &record::address),
      required_field("port", &record::port, detail::port_range),
      optional_field("timeout_ms", &record::timeout_ms, detail::span_range_ms),
      optional_field("watch_wait_ms", &record::watch_wait_ms, {100, 60'000}),
      optional_field("connections", &record::connections, {1, 100}),
      optional_field("read_capacity_per_s", &record::read_capacity_per_s, {1, 1'000'000}),
      optional_field("read_share_percent", &record::read_share_percent, {1, 100}));
};

template <>
struct record_fields<peer_settings> {
  static constexpr auto table = std::make_tuple(optional_field("seeds", &peer_settings::seeds));
};

template <>
struct record_fields<timing_settings> {
  using record = timing_settings;
  static constexpr number_range span = detail::span_range_ms;
  static constexpr auto table = std::make_tuple(
      optional_field("heartbeat_interval_ms", &record::heartbeat_interval_ms, span),
      optional_field("heartbeat_timeout_ms", &record::heartbeat_timeout_ms, span),
      optional_field("suspicion_timeout_ms", &record::suspicion_timeout_ms, span),
      optional_field("reconnect_base_ms", &record::reconnect_base_ms, span),
      optional_field("reconnect_limit_ms", &record::reconnect_limit_ms, span),
      optional_field("catch_up_limit_ms", &record::catch_up_limit_ms, {0, 10'000}),
      optional_field("claim_validity_ms", &record::claim_validity_ms, {1'000, 600'000}),
      optional_field("clock_skew_limit_ms", &record::clock_skew_limit_ms, {0, 600'000}),
      optional_field("drain_limit_ms", &record::drain_limit_ms, {100, 3'600'000}));
};

template <>
struct record_fields<limit_settings> {
  using record = limit_settings;
  static constexpr auto table = std::make_tuple(
      optional_field("queue_length", &record::queue_length, {0, 100'000}),
      optional_field("caller_connections", &record::caller_connections, {1, 100'000}),
      optional_field("body_bytes", &record::body_bytes, {1'000, 1'000'000}),
      optional_field("link_output_bytes", &record::link_output_bytes, {2'000'000, 64'000'000}),
      optional_field("subset_size", &record::subset_size, {1, 1'000}),
      optional_field("retry_percent", &record::retry_percent, {0, 100}),
      optional_field("memory_mb", &record::memory_mb, {0, 1'000'000}),
      optional_field("descriptors", &record::descriptors, {0, 1'000'000}),
      optional_field("hedge_percent", &record::hedge_percent, {0, 100}));
};

template <>
struct record_fields<log_settings> {
  static constexpr auto table =
      std::make_tuple(optional_field("directory", &log_settings::directory),
                      optional_field("minimum_level", &log_settings::minimum_level));
};

template <>
struct record_fields<trace_settings> {
  static constexpr auto table = std::make_tuple(
      optional_field("buffer_spans", &trace_settings::buffer_spans, {0, 1'000'000}));
};

template <>
struct record_fields<settings> {
  static constexpr auto table = std::make_tuple(
      required_field("instance", &settings::instance), required_field("listen", &settings::listen),
      required_field("target", &settings::target), required_field("platform", &settings::platform),
      optional_field("peers", &settings::peers), optional_field("timing", &settings::timing),
      optional_field("limits", &settings::limits), optional_field("log", &settings::log),
      optional_field("trace", &settings::trace));
};

}  // namespace crocusdoor

#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "core/enum_names.h"
#include "core/record_codec.h"
#include "core/strong_string.h"

namespace crocusdoor {

/// State of an instance, announced by its own daemon or set by its neighbours.
enum class instance_state {
  starting,  ///< The daemon runs, but has no confirmed configuration or its target is not ready.
  ready,     ///< The target accepts requests.
  draining,  ///< The target finishes running requests and accepts no new ones.
  suspect,   ///< A neighbour got no response to its heartbeats; the instance can refute this.
  dead,      ///< The suspicion was not refuted in time.
  left,      ///< The daemon has finished its drain.
};

template <>
struct enum_names<instance_state> {
  static constexpr auto names = make_enum_names<instance_state>({
      {instance_state::starting, "starting"},
      {instance_state::ready, "ready"},
      {instance_state::draining, "draining"},
      {instance_state::suspect, "suspect"},
      {instance_state::dead, "dead"},
      {instance_state::left, "left"},
  });
};

/// Membership record of one instance. Records of the same instance are ordered by incarnation, then
/// by sequence, then by state; the greater record replaces the lesser.
struct instance_record {
  instance_name name;
  std::uint64_t incarnation = 0;  ///< Wall time of the daemon's start in milliseconds.
  std::uint64_t sequence = 0;     ///< Incremented by the instance with each change of its record.
  instance_state state = instance_state::starting;
  failure_domain domain;
  region_name region;
  service_name service;                         ///< Service of the instance's target.
  std::string address;                          ///< IP address.
  std::uint16_t peer_port = 0;                  ///< Port for links between daemons.
  std::uint16_t api_port = 0;                   ///< Port of the intent API.
  std::int32_t slots = 1;                       ///< Requests that the target runs concurrently.
  std::chrono::milliseconds warmup_left_ms{0};  ///< Remaining warm-up time of the target.
  std::string target_version;  ///< Of the target's software; empty if it is not known.
  friend bool operator==(const instance_record&, const instance_record&) = default;
};

template <>
struct record_fields<instance_record> {
  static constexpr auto table =
      std::make_tuple(required_field("name", &instance_record::name),
                      required_field("incarnation", &instance_record::incarnation),
                      required_field("sequence", &instance_record::sequence),
                      required_field("state", &instance_record::state),
                      required_field("domain", &instance_record::domain),
                      required_field("region", &instance_record::region),
                      required_field("service", &instance_record::service),
                      required_field("address", &instance_record::address),
                      required_field("peer_port", &instance_record::peer_port),
                      required_field("api_port", &instance_record::api_port),
                      required_field("slots", &instance_record::slots, {1, 10'000}),
                      optional_field("warmup_left_ms", &instance_record::warmup_left_ms),
                      optional_field("target_version", &instance_record::target_version));
};

}  // namespace crocusdoor

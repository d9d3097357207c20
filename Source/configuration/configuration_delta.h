#pragma once

#include <vector>

#include "configuration/snapshot.h"
#include "core/digest.h"
#include "core/record_codec.h"

namespace crocusdoor {

/// Difference between a configuration version and a later one.
struct configuration_delta {
  version_number base = 0;
  version_number version = 0;
  std::vector<service> changed_services;
  std::vector<route> changed_routes;
  std::vector<run_once_action> changed_actions;
  std::vector<service_name> removed_services;
  std::vector<route_name> removed_routes;
  std::vector<action_name> removed_actions;
  digest result_digest;  ///< Digest of the whole snapshot after the change.
  friend bool operator==(const configuration_delta&, const configuration_delta&) = default;
};

template <>
struct record_fields<configuration_delta> {
  static constexpr auto table =
      std::make_tuple(required_field("base", &configuration_delta::base),
                      required_field("version", &configuration_delta::version),
                      required_field("changed_services", &configuration_delta::changed_services),
                      required_field("changed_routes", &configuration_delta::changed_routes),
                      required_field("changed_actions", &configuration_delta::changed_actions),
                      required_field("removed_services", &configuration_delta::removed_services),
                      required_field("removed_routes", &configuration_delta::removed_routes),
                      required_field("removed_actions", &configuration_delta::removed_actions),
                      required_field("result_digest", &configuration_delta::result_digest));
};

}  // namespace crocusdoor

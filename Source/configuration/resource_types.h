#pragma once

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "configuration/configuration_delta.h"
#include "configuration/intent.h"
#include "configuration/resource_kind.h"
#include "configuration/snapshot.h"

namespace crocusdoor::detail {

/// The members of a snapshot, a delta and an intent that contain one kind of resource.
template <typename Resource, typename Name>
struct resource_type {
  resource_kind kind;
  std::map<Name, Resource> snapshot::*members;
  std::vector<Resource> configuration_delta::*changed;
  std::vector<Name> configuration_delta::*removed;
  std::optional<Resource> intent::*put;
  std::optional<Name> intent::*remove;
};

inline constexpr auto resource_types = std::make_tuple(
    resource_type<service, service_name>{
        resource_kind::service, &snapshot::services, &configuration_delta::changed_services,
        &configuration_delta::removed_services, &intent::put_service, &intent::remove_service},
    resource_type<route, route_name>{
        resource_kind::route, &snapshot::routes, &configuration_delta::changed_routes,
        &configuration_delta::removed_routes, &intent::put_route, &intent::remove_route},
    resource_type<run_once_action, action_name>{
        resource_kind::action, &snapshot::actions, &configuration_delta::changed_actions,
        &configuration_delta::removed_actions, &intent::put_action, &intent::remove_action});

/// Calls `visit` with the `resource_type` of each kind, services first.
template <typename Visitor>
void for_each_resource_type(const Visitor& visit) {
  std::apply([&](const auto&... type) { (visit(type), ...); }, resource_types);
}

}  // namespace crocusdoor::detail

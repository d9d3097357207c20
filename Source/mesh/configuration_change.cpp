#include "mesh/configuration_change.h"

#include <map>
#include <set>
#include <utility>

#include "core/digest.h"

namespace crocusdoor {

namespace {

route_key key_of(const mesh_route& route) {
  return {route.host, route.path_prefix};
}

/// Joins fields, each prefixed with its length, so that different fields give different texts.
class field_text {
 public:
  void add(std::string_view field) {
    text_ += std::to_string(field.size());
    text_ += ':';
    text_ += field;
  }
  void add(std::int64_t field) { add(std::to_string(field)); }
  [[nodiscard]] std::uint64_t hash() const { return stable_hash(text_); }

 private:
  std::string text_;
};

std::uint64_t fingerprint_of(const mesh_route& route) {
  field_text fields;
  fields.add(route.name.str());
  fields.add(route.host);
  fields.add(route.path_prefix);
  for (const weighted_service& weighted : route.services) {
    fields.add(weighted.service.str());
    fields.add(weighted.weight);
  }
  fields.add(route.idempotent ? 1 : 0);
  fields.add(route.timeout_ms.count());
  fields.add(route.latency_objective_ms.count());
  fields.add(route.attempts);
  fields.add(route.rank);
  // Added only where they are set, so that daemons that do not know them yet get the same hash.
  if (route.large_responses) {
    fields.add("large_responses");
  }
  if (route.open_to_all) {
    fields.add("open_to_all");
  }
  return fields.hash();
}

std::uint64_t fingerprint_of(const mesh_service& service) {
  field_text fields;
  fields.add(service.name.str());
  fields.add(service.health_path);
  fields.add(service.connection_limit);
  return fields.hash();
}

std::uint64_t fingerprint_of(const mesh_workspace& workspace) {
  field_text fields;
  fields.add(workspace.name.str());
  for (const std::string& key : workspace.api_keys) {
    fields.add(key);
  }
  fields.add(workspace.rank);
  fields.add(std::to_string(workspace.rate_per_s));
  fields.add(std::to_string(workspace.burst));
  return fields.hash();
}

}  // namespace

std::uint64_t fingerprint_of(const mesh_configuration& configuration) {
  // A sum of hashes does not depend on the order of the routes and services.
  std::uint64_t sum = 0;
  for (const mesh_route& route : configuration.routes) {
    sum += fingerprint_of(route);
  }
  for (const mesh_service& service : configuration.services) {
    sum += fingerprint_of(service);
  }
  for (const mesh_workspace& workspace : configuration.workspaces) {
    sum += fingerprint_of(workspace);
  }
  field_text limits;
  limits.add(static_cast<std::int64_t>(configuration.limits.header_bytes));
  limits.add(static_cast<std::int64_t>(configuration.limits.body_bytes));
  limits.add(configuration.limits.header_timeout_ms.count());
  limits.add(configuration.limits.idle_timeout_ms.count());
  return sum + limits.hash();
}

configuration_change change_between(const mesh_configuration& before,
                                    const mesh_configuration& after) {
  configuration_change change;
  change.base_version = before.version;
  change.version = after.version;
  change.services = after.services;
  change.limits = after.limits;
  change.fingerprint = fingerprint_of(after);
  if (after.workspaces != before.workspaces) {
    change.workspaces = after.workspaces;
  }
  std::map<route_key, const mesh_route*> old_routes;
  for (const mesh_route& route : before.routes) {
    old_routes[key_of(route)] = &route;
  }
  for (const mesh_route& route : after.routes) {
    const auto old_route = old_routes.find(key_of(route));
    if (old_route == old_routes.end() || *old_route->second != route) {
      change.changed.push_back(route);
    }
    if (old_route != old_routes.end()) {
      old_routes.erase(old_route);
    }
  }
  for (const auto& [key, route] : old_routes) {
    change.removed.push_back(key);
  }
  return change;
}

leaf::result<mesh_configuration> apply_change(mesh_configuration base,
                                              const configuration_change& change) {
  if (base.version != change.base_version) {
    return leaf::new_error(
        failure{error_code::conflict,
                "the base version of the change is not the version that it is applied to"});
  }
  std::set<route_key> replaced_keys(change.removed.begin(), change.removed.end());
  for (const mesh_route& route : change.changed) {
    replaced_keys.insert(key_of(route));
  }
  std::erase_if(base.routes,
                [&](const mesh_route& route) { return replaced_keys.contains(key_of(route)); });
  base.routes.insert(base.routes.end(), change.changed.begin(), change.changed.end());
  base.version = change.version;
  base.services = change.services;
  base.limits = change.limits;
  if (change.workspaces.has_value()) {
    base.workspaces = *change.workspaces;
  }
  if (fingerprint_of(base) != change.fingerprint) {
    return leaf::new_error(failure{error_code::conflict, "the result differs from the sender's"});
  }
  return base;
}

}  // namespace crocusdoor

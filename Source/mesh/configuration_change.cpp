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

/// Collects fields into one text in which their boundaries show.
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
  for (const weighted_service& part : route.services) {
    fields.add(part.service.str());
    fields.add(part.weight);
  }
  fields.add(route.idempotent ? 1 : 0);
  fields.add(route.timeout_ms.count());
  fields.add(route.latency_objective_ms.count());
  fields.add(route.attempts);
  fields.add(route.rank);
  return fields.hash();
}

std::uint64_t fingerprint_of(const mesh_service& service) {
  field_text fields;
  fields.add(service.name.str());
  fields.add(service.health_path);
  fields.add(service.connection_limit);
  return fields.hash();
}

}  // namespace

std::uint64_t fingerprint_of(const mesh_configuration& content) {
  // A sum does not depend on the order.
  std::uint64_t sum = 0;
  for (const mesh_route& route : content.routes) {
    sum += fingerprint_of(route);
  }
  for (const mesh_service& service : content.services) {
    sum += fingerprint_of(service);
  }
  field_text limits;
  limits.add(static_cast<std::int64_t>(content.limits.header_bytes));
  limits.add(static_cast<std::int64_t>(content.limits.body_bytes));
  limits.add(content.limits.header_timeout_ms.count());
  limits.add(content.limits.idle_timeout_ms.count());
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
  std::map<route_key, const mesh_route*> old_routes;
  for (const mesh_route& route : before.routes) {
    old_routes[key_of(route)] = &route;
  }
  for (const mesh_route& route : after.routes) {
    const auto old = old_routes.find(key_of(route));
    if (old == old_routes.end() || *old->second != route) {
      change.changed.push_back(route);
    }
    if (old != old_routes.end()) {
      old_routes.erase(old);
    }
  }
  for (const auto& [key, route] : old_routes) {
    change.removed.push_back(key);
  }
  return change;
}

leaf::result<mesh_configuration> apply_change(mesh_configuration before,
                                              const configuration_change& change) {
  if (before.version != change.base_version) {
    return leaf::new_error(failure{error_code::conflict, "the change has another base"});
  }
  std::set<route_key> replaced(change.removed.begin(), change.removed.end());
  for (const mesh_route& route : change.changed) {
    replaced.insert(key_of(route));
  }
  std::erase_if(before.routes,
                [&](const mesh_route& route) { return replaced.contains(key_of(route)); });
  before.routes.insert(before.routes.end(), change.changed.begin(), change.changed.end());
  before.version = change.version;
  before.services = change.services;
  before.limits = change.limits;
  if (fingerprint_of(before) != change.fingerprint) {
    return leaf::new_error(failure{error_code::conflict, "the result differs from the sender's"});
  }
  return before;
}

}  // namespace crocusdoor

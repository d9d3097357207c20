#pragma once

#include <string>
#include <utility>
#include <vector>

#include "configuration/configuration_holder.h"
#include "configuration/head_document.h"
#include "configuration/plan.h"
#include "core/random_source.h"

namespace crocusdoor {

inline const decision_record board_decision{"board", "2026-03-02", "decided at the meeting"};

inline service make_service(const std::string& name, std::int32_t slots = 12) {
  return {.name = service_name(name), .slots_per_upstream = slots, .decision = board_decision};
}

inline route make_route(const std::string& name, const std::string& prefix,
                        const std::string& target) {
  return {.name = route_name(name),
          .path_prefix = prefix,
          .service = service_name(target),
          .decision = board_decision};
}

inline run_once_action make_action(const std::string& name, const std::string& prefix,
                                   const std::string& target) {
  return {.name = action_name(name),
          .service = service_name(target),
          .path_prefix = prefix,
          .key_name = "Idempotency-Key",
          .decision = board_decision};
}

inline snapshot make_snapshot(version_number version, const std::vector<service>& services,
                              const std::vector<route>& routes,
                              const std::vector<run_once_action>& actions = {}) {
  snapshot content;
  content.version = version;
  for (const service& added : services) {
    content.services.emplace(added.name, added);
  }
  for (const route& added : routes) {
    content.routes.emplace(added.name, added);
  }
  for (const run_once_action& added : actions) {
    content.actions.emplace(added.name, added);
  }
  return content;
}

/// Snapshot with one service, one route to it and one action on it. The number of slots is the
/// version number, so that the versions differ.
inline snapshot advances_snapshot(version_number version) {
  return make_snapshot(version, {make_service("advances", static_cast<std::int32_t>(version))},
                       {make_route("advances-v1", "/advances", "advances")},
                       {make_action("advance", "/advances", "advances")});
}

inline adoption offer_whole(configuration_holder& holder, const snapshot& content) {
  return holder.offer(content, digest_of(content)).outcome;
}

inline head_document make_head(snapshot content) {
  head_document head;
  head.content_digest = digest_of(content);
  head.content = std::move(content);
  return head;
}

/// The failure of an operation; `error_code::unavailable`, "no failure", if it succeeds.
template <typename Operation>
failure failure_of(const Operation& operation) {
  failure result{error_code::unavailable, "no failure"};
  handle_failure(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(operation());
        return {};
      },
      [&](const failure& error) { result = error; });
  return result;
}

/// Random intents that are valid for the configuration `base`. They add, change or remove a service
/// with its routes and actions.
inline intent_document random_intents(const snapshot& base, random_source& random) {
  intent_document document{"operator-" + std::to_string(random.index(3)), "seeded change", {}};
  const std::string name = "service-" + std::to_string(random.index(6));
  const bool exists = base.services.contains(service_name(name));
  if (exists && random.index(3) == 0) {
    document.intents.push_back({.remove_service = service_name(name)});
    for (const auto& [route_key, candidate] : base.routes) {
      if (candidate.service.str() == name) {
        document.intents.push_back({.remove_route = route_key});
      }
    }
    for (const auto& [action_key, candidate] : base.actions) {
      if (candidate.service.str() == name) {
        document.intents.push_back({.remove_action = action_key});
      }
    }
    return document;
  }
  const auto slots = static_cast<std::int32_t>(1 + random.index(1000));
  document.intents.push_back({.put_service = make_service(name, slots)});
  const std::string path = "/" + name + "/" + std::to_string(random.index(2));
  document.intents.push_back(
      {.put_route = make_route(name + path.substr(path.size() - 1), path, name)});
  document.intents.push_back({.put_action = make_action(name, path, name)});
  return document;
}

}  // namespace crocusdoor

#include "configuration/snapshot_diff.h"

#include <map>
#include <set>
#include <utility>

#include "configuration/resource_types.h"

namespace crocusdoor {

namespace {

/// Calls `on_change(before, after)` with pointers to both resources for each name whose resource
/// differs, in the order of names; the pointer to a missing resource is null.
template <typename Name, typename Resource, typename OnChange>
void for_each_difference(const std::map<Name, Resource>& before,
                         const std::map<Name, Resource>& after, const OnChange& on_change) {
  auto left = before.begin();
  auto right = after.begin();
  while (left != before.end() || right != after.end()) {
    const bool left_only =
        right == after.end() || (left != before.end() && left->first < right->first);
    const bool right_only =
        left == before.end() || (right != after.end() && right->first < left->first);
    if (left_only) {
      on_change(&(left++)->second, static_cast<const Resource*>(nullptr));
    } else if (right_only) {
      on_change(static_cast<const Resource*>(nullptr), &(right++)->second);
    } else {
      if (!(left->second == right->second)) {
        on_change(&left->second, &right->second);
      }
      ++left;
      ++right;
    }
  }
}

/// Applies the changes and removals of one kind of resource. Returns false if a resource is named
/// twice.
template <typename Type>
bool apply_changes(const Type& type, const configuration_delta& delta, snapshot& content) {
  auto& members = content.*(type.members);
  std::set<std::string> named;
  bool named_once = true;
  for (const auto& resource : delta.*(type.changed)) {
    named_once = named.insert(resource.name.str()).second && named_once;
    members.insert_or_assign(resource.name, resource);
  }
  for (const auto& name : delta.*(type.removed)) {
    named_once = named.insert(name.str()).second && named_once;
    members.erase(name);
  }
  return named_once;
}

}  // namespace

std::vector<resource_change> diff_snapshots(const snapshot& before, const snapshot& after) {
  std::vector<resource_change> changes;
  detail::for_each_resource_type([&](const auto& type) {
    for_each_difference(
        before.*(type.members), after.*(type.members),
        [&](const auto* old_resource, const auto* new_resource) {
          resource_change change;
          change.kind = type.kind;
          change.name = (new_resource != nullptr ? new_resource : old_resource)->name.str();
          change.change = old_resource == nullptr   ? change_kind::added
                          : new_resource == nullptr ? change_kind::removed
                                                    : change_kind::changed;
          change.before = old_resource == nullptr ? json() : encode_value(*old_resource);
          change.after = new_resource == nullptr ? json() : encode_value(*new_resource);
          changes.push_back(std::move(change));
        });
  });
  return changes;
}

configuration_delta delta_between(const snapshot& before, const snapshot& after,
                                  const digest& after_digest) {
  configuration_delta delta;
  delta.base = before.version;
  delta.version = after.version;
  delta.result_digest = after_digest;
  detail::for_each_resource_type([&](const auto& type) {
    for_each_difference(before.*(type.members), after.*(type.members),
                        [&](const auto* old_resource, const auto* new_resource) {
                          if (new_resource != nullptr) {
                            (delta.*(type.changed)).push_back(*new_resource);
                          } else {
                            (delta.*(type.removed)).push_back(old_resource->name);
                          }
                        });
  });
  return delta;
}

std::size_t resource_count(const configuration_delta& delta) {
  std::size_t count = 0;
  detail::for_each_resource_type([&](const auto& type) {
    count += (delta.*(type.changed)).size() + (delta.*(type.removed)).size();
  });
  return count;
}

leaf::result<snapshot> apply_delta(const snapshot& base, const configuration_delta& delta) {
  if (delta.version <= base.version || delta.version <= delta.base) {
    return leaf::new_error(failure{error_code::stale, "the delta leads to no later version"});
  }
  if (delta.base > base.version) {
    return leaf::new_error(
        failure{error_code::conflict, "the delta starts at version " + std::to_string(delta.base) +
                                          ", the version held is " + std::to_string(base.version)});
  }
  snapshot next = base;
  next.version = delta.version;
  bool named_once = true;
  detail::for_each_resource_type(
      [&](const auto& type) { named_once = apply_changes(type, delta, next) && named_once; });
  if (!named_once) {
    return leaf::new_error(failure{error_code::invalid, "the delta names a resource twice"});
  }
  return next;
}

configuration_delta compose_deltas(const configuration_delta& first,
                                   const configuration_delta& second) {
  configuration_delta result;
  result.base = first.base;
  result.version = second.version;
  result.result_digest = second.result_digest;
  detail::for_each_resource_type([&](const auto& type) {
    auto changed = std::map<std::decay_t<decltype((first.*(type.removed)).front())>,
                            std::decay_t<decltype((first.*(type.changed)).front())>>();
    auto removed = std::set<std::decay_t<decltype((first.*(type.removed)).front())>>();
    for (const configuration_delta* delta : {&first, &second}) {
      for (const auto& resource : delta->*(type.changed)) {
        changed.insert_or_assign(resource.name, resource);
        removed.erase(resource.name);
      }
      for (const auto& name : delta->*(type.removed)) {
        changed.erase(name);
        removed.insert(name);
      }
    }
    for (auto& [name, resource] : changed) {
      (result.*(type.changed)).push_back(std::move(resource));
    }
    (result.*(type.removed)).assign(removed.begin(), removed.end());
  });
  return result;
}

}  // namespace crocusdoor

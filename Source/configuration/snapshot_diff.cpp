#include "configuration/snapshot_diff.h"

#include <map>
#include <set>
#include <utility>

#include "configuration/resource_types.h"

namespace crocusdoor {

namespace {

/// Calls `on_change(before, after)` for each name whose resource differs, in the order of names; a
/// pointer is null where the resource is missing.
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

/// Sets and removes the resources of one kind. False if a resource is named twice.
template <typename Type>
bool apply_changes(const Type& type, const configuration_delta& delta, snapshot& content) {
  auto& members = content.*(type.members);
  std::set<std::string> named;
  bool named_once = true;
  for (const auto& one : delta.*(type.changed)) {
    named_once = named.insert(one.name.str()).second && named_once;
    members.insert_or_assign(one.name, one);
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
    for_each_difference(before.*(type.members), after.*(type.members),
                        [&](const auto* old_one, const auto* new_one) {
                          resource_change change;
                          change.kind = type.kind;
                          change.name = (new_one != nullptr ? new_one : old_one)->name.str();
                          change.change = old_one == nullptr   ? change_kind::added
                                          : new_one == nullptr ? change_kind::removed
                                                               : change_kind::changed;
                          change.before = old_one == nullptr ? json() : encode_value(*old_one);
                          change.after = new_one == nullptr ? json() : encode_value(*new_one);
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
                        [&](const auto* old_one, const auto* new_one) {
                          if (new_one != nullptr) {
                            (delta.*(type.changed)).push_back(*new_one);
                          } else {
                            (delta.*(type.removed)).push_back(old_one->name);
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
      for (const auto& one : delta->*(type.changed)) {
        changed.insert_or_assign(one.name, one);
        removed.erase(one.name);
      }
      for (const auto& name : delta->*(type.removed)) {
        changed.erase(name);
        removed.insert(name);
      }
    }
    for (auto& [name, one] : changed) {
      (result.*(type.changed)).push_back(std::move(one));
    }
    (result.*(type.removed)).assign(removed.begin(), removed.end());
  });
  return result;
}

}  // namespace crocusdoor

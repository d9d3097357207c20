#include "configuration/decision_history.h"

#include <map>
#include <utility>

#include "configuration/resource_types.h"

namespace crocusdoor {

std::vector<decision_entry> decision_history(const head_document& head) {
  std::map<std::pair<resource_kind, std::string>, decision_entry> entries;
  const auto entry_of = [&](resource_kind kind, const std::string& name) -> decision_entry& {
    decision_entry& entry = entries[{kind, name}];
    entry.kind = kind;
    entry.name = name;
    return entry;
  };
  detail::for_each_resource_type([&](const auto& type) {
    for (const auto& [name, resource] : head.content.*(type.members)) {
      entry_of(type.kind, name.str()).standing = resource.decision;
    }
  });
  for (const change_record& change : head.changes) {
    for (const touched_resource& touched : change.touched) {
      entry_of(touched.kind, touched.name)
          .changes.push_back({change.version, change.plan_id, change.operator_name,
                              change.confirmed_at_ms, change.reason, touched.change,
                              touched.decision});
    }
  }
  std::vector<decision_entry> result;
  result.reserve(entries.size());
  for (auto& [key, entry] : entries) {
    result.push_back(std::move(entry));
  }
  return result;
}

}  // namespace crocusdoor

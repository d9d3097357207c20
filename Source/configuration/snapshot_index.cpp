#include "configuration/snapshot_index.h"

#include "configuration/snapshot.h"

namespace crocusdoor {

void snapshot_index::build(const snapshot& content, const snapshot* similar) {
  auto built = std::make_unique<tables>();
  for (const auto& [name, indexed] : content.routes) {
    built->routes.insert(indexed.path_prefix, &indexed);
  }
  for (const auto& [name, indexed] : content.actions) {
    built->actions[{indexed.service.str(), indexed.method}].insert(indexed.path_prefix, &indexed);
  }
  built->fingerprints = similar != nullptr && similar->index.built()
                            ? fingerprints_of(content, *similar, similar->index.fingerprints())
                            : fingerprints_of(content);
  tables_ = std::move(built);
}

const route* snapshot_index::find_route(std::string_view path) const {
  return tables_->routes.find(path);
}

const run_once_action* snapshot_index::find_action(const service_name& target_service,
                                                   std::string_view method,
                                                   std::string_view path) const {
  const auto found = tables_->actions.find({target_service.str(), method});
  return found == tables_->actions.end() ? nullptr : found->second.find(path);
}

}  // namespace crocusdoor

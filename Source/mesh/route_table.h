#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "mesh/mesh_configuration.h"
#include "mesh/workspace_keys.h"

namespace crocusdoor {

/// Immutable index of one version of the configuration; a new version gets a new table.
class route_table {
 public:
  /// `key_seed` is the seed of the hash by which API keys are looked up.
  explicit route_table(mesh_configuration content, std::uint64_t key_seed = 0);

  [[nodiscard]] std::uint64_t version() const noexcept { return content_.version; }
  [[nodiscard]] const mesh_configuration& content() const noexcept { return content_; }

  /// Returns the route of the host with the longest path prefix that matches the path of the
  /// request target; null if there is none. Ignores the port of the host and the query string.
  [[nodiscard]] const mesh_route* find(std::string_view host,
                                       std::string_view request_target) const;
  [[nodiscard]] const mesh_service* service(const service_name& name) const;
  /// The workspace that an API key belongs to; null if the key is not known.
  [[nodiscard]] const mesh_workspace* workspace_of(std::string_view key) const {
    return keys_.find(key);
  }

 private:
  using prefix_map = std::map<std::string, const mesh_route*, std::less<>>;

  mesh_configuration content_;
  std::map<std::string, prefix_map, std::less<>> by_host_;
  std::map<service_name, const mesh_service*> services_;
  workspace_keys keys_;
};

using route_table_pointer = std::shared_ptr<const route_table>;

}  // namespace crocusdoor

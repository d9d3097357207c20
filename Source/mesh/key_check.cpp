#include "mesh/key_check.h"

#include "mesh/workspace_keys.h"

namespace crocusdoor {

key_check check_key(const route_table& configuration, const mesh_route& route,
                    std::string_view authorization, const configuration_proof& proof) {
  if (configuration.content().workspaces.empty()) {
    return {};
  }
  const std::optional<std::string_view> key = bearer_key(authorization);
  const mesh_workspace* workspace = key.has_value() ? configuration.workspace_of(*key) : nullptr;
  if (workspace != nullptr && proof.admits) {
    return {key_decision::admitted, workspace};
  }
  if (route.open_to_all) {
    // A key that may have been removed names no workspace.
    return {};
  }
  if (workspace != nullptr) {
    return {key_decision::unproven, nullptr};
  }
  return {proof.denies ? key_decision::denied : key_decision::unsettled, nullptr};
}

}  // namespace crocusdoor

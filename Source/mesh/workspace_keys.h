#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "mesh/mesh_configuration.h"

namespace crocusdoor {

/// The API key in the value of an `Authorization` header; nothing if the header has another scheme
/// or no key.
[[nodiscard]] std::optional<std::string_view> bearer_key(std::string_view authorization);

/// Short digest of an API key for log lines. It identifies a key among those that an operator
/// knows; with 32 bits it is too short to find the key from it.
[[nodiscard]] std::string key_digest(std::string_view key);

/// Index of the API keys of one configuration. Keys are looked up by a hash with a secret seed and
/// compared in a time that does not depend on their content, so that response times tell nothing
/// about the keys.
class workspace_keys {
 public:
  /// `content` must outlive the index. A key of several workspaces belongs to the first one.
  workspace_keys(const mesh_configuration& content, std::uint64_t seed);

  /// The workspace that a key belongs to; null if the key is not known.
  [[nodiscard]] const mesh_workspace* find(std::string_view key) const;

 private:
  struct entry {
    std::string_view key;
    const mesh_workspace* workspace = nullptr;
  };

  std::uint64_t seed_;
  std::unordered_multimap<std::uint64_t, entry> entries_;
};

}  // namespace crocusdoor

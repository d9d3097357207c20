#include "mesh/workspace_keys.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "core/digest.h"

namespace crocusdoor {

namespace {

constexpr std::string_view bearer_scheme = "bearer";
constexpr std::uint64_t digest_mask = 0xffff'ffffU;

bool same_scheme(std::string_view text) {
  return std::equal(text.begin(), text.end(), bearer_scheme.begin(), bearer_scheme.end(),
                    [](char given, char expected) {
                      const bool upper = given >= 'A' && given <= 'Z';
                      return (upper ? static_cast<char>(given - 'A' + 'a') : given) == expected;
                    });
}

/// Compares all characters, also after the first difference.
bool equal_in_constant_time(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  unsigned int difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

}  // namespace

std::optional<std::string_view> bearer_key(std::string_view authorization) {
  const std::size_t space = authorization.find(' ');
  if (space == std::string_view::npos || !same_scheme(authorization.substr(0, space))) {
    return std::nullopt;
  }
  const std::size_t begin = authorization.find_first_not_of(' ', space);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  return authorization.substr(begin, authorization.find_last_not_of(' ') - begin + 1);
}

std::string key_digest(std::string_view key) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%08llx",
                static_cast<unsigned long long>(stable_hash(key) & digest_mask));
  return text.data();
}

workspace_keys::workspace_keys(const mesh_configuration& content, std::uint64_t seed)
    : seed_(seed) {
  for (const mesh_workspace& workspace : content.workspaces) {
    for (const std::string& key : workspace.api_keys) {
      if (!key.empty() && find(key) == nullptr) {
        entries_.emplace(stable_hash(key, seed_), entry{key, &workspace});
      }
    }
  }
}

const mesh_workspace* workspace_keys::find(std::string_view key) const {
  const auto [begin, end] = entries_.equal_range(stable_hash(key, seed_));
  const auto found = std::find_if(begin, end, [&](const auto& candidate) {
    return equal_in_constant_time(candidate.second.key, key);
  });
  return found == end ? nullptr : found->second.workspace;
}

}  // namespace crocusdoor

#include "run_once/shard_directory.h"

#include <array>
#include <charconv>
#include <string>

#include "core/digest.h"
#include "core/rendezvous_hash.h"

namespace crocusdoor {

std::uint32_t shard_of(const operation_key& operation, std::uint32_t shard_count) {
  const digest name = digest_of({operation.action.str(), operation.key.str()});
  return static_cast<std::uint32_t>(stable_hash(name.str()) % shard_count);
}

std::optional<instance_name> shard_owner(std::uint32_t shard,
                                         const std::vector<instance_name>& live) {
  const auto owners = top_by_rendezvous("run-once-" + std::to_string(shard), live, 1);
  return owners.empty() ? std::nullopt : std::optional(owners.front());
}

std::optional<std::uint32_t> shard_of_object(std::string_view object_name) {
  // "run-once-" comes last, because it is a prefix of the other two.
  constexpr std::array<std::string_view, 3> prefixes = {"run-once-checkpoint-part/",
                                                        "run-once-checkpoint/", "run-once-"};
  for (const std::string_view prefix : prefixes) {
    if (!object_name.starts_with(prefix)) {
      continue;
    }
    const std::string_view rest = object_name.substr(prefix.size());
    std::uint32_t shard = 0;
    const auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), shard);
    const bool number_ends = end == rest.data() + rest.size() || *end == '/';
    if (error == std::errc() && number_ends && shard < run_once_shard_count) {
      return shard;
    }
    return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace crocusdoor

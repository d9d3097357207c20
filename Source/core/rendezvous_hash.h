#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/strong_string.h"

namespace crocusdoor {

/// Rendezvous (highest random weight) score of a member for a key.
[[nodiscard]] std::uint64_t rendezvous_score(std::string_view key, const instance_name& member);

/// The `count` members with the highest scores for the key, highest first. The result does not
/// depend on the order of `members`. The removal of a member changes the result only for the keys
/// assigned to that member.
[[nodiscard]] std::vector<instance_name> top_by_rendezvous(std::string_view key,
                                                           std::vector<instance_name> members,
                                                           std::size_t count);

}  // namespace crocusdoor

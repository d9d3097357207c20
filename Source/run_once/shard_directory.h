#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/strong_string.h"
#include "run_once/claim.h"

namespace crocusdoor {

/// Number of shards of the run-once log. Changing it would map existing idempotency keys to other
/// shards, whose logs don't contain them. With 64 shards, group commit saved no writes at 64
/// concurrent actions (0.51 actions per write, 6,434 writes/s on a virtual clock); 8 shards limited
/// to 32 writes/s each gave 3.69 actions per write.
inline constexpr std::uint32_t run_once_shard_count = 8;

/// Shard of an operation; every instance computes the same one.
[[nodiscard]] std::uint32_t shard_of(const operation_key& operation,
                                     std::uint32_t shard_count = run_once_shard_count);

/// Owner of a shard: the live member that rendezvous hashing ranks first; empty if `live` is
/// empty.
[[nodiscard]] std::optional<instance_name> shard_owner(std::uint32_t shard,
                                                       const std::vector<instance_name>& live);

/// Shard that a platform object of the run-once log belongs to; empty for other objects.
[[nodiscard]] std::optional<std::uint32_t> shard_of_object(std::string_view object_name);

}  // namespace crocusdoor

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "core/strong_string.h"

namespace crocusdoor {

/// 128-bit content digest (XXH3) as 32 lower-case hexadecimal characters. Detects accidental
/// differences; it is not a defence against a peer that forges content.
using digest = strong_string<struct digest_tag>;

/// Digest of a byte string.
[[nodiscard]] digest digest_of(std::string_view bytes);

/// Digest of several byte strings. The boundaries between the parts affect the digest.
[[nodiscard]] digest digest_of(std::initializer_list<std::string_view> parts);

/// 64-bit hash (XXH3), the same on every machine and in every run.
[[nodiscard]] std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace crocusdoor

#include "core/digest.h"

#include <xxhash.h>

#include <array>
#include <cstddef>

namespace crocusdoor {

digest digest_of(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, hash);
  constexpr std::string_view hexadecimal = "0123456789abcdef";
  std::string text;
  text.reserve(2 * sizeof(canonical.digest));
  for (const unsigned char byte : canonical.digest) {
    text.push_back(hexadecimal[byte >> 4U]);
    text.push_back(hexadecimal[byte & 0xFU]);
  }
  return digest(std::move(text));
}

digest digest_of(std::initializer_list<std::string_view> parts) {
  std::string joined;
  for (const std::string_view part : parts) {
    joined += std::to_string(part.size());
    joined += ':';
    joined += part;
  }
  return digest_of(joined);
}

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace crocusdoor

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/enum_names.h"

namespace crocusdoor {

/// Version that the platform assigns to each write of an object.
using object_version = std::uint64_t;

/// Outcome of a call to the platform's object API.
enum class platform_outcome {
  ok,           ///< The call succeeded.
  absent,       ///< The object does not exist, or a watch ended without a change.
  conflict,     ///< The condition of the write did not hold; nothing was written.
  not_applied,  ///< The call did not reach the platform or was refused; nothing was written.
  unknown,      ///< No usable response arrived; a write may have taken effect.
};

template <>
struct enum_names<platform_outcome> {
  static constexpr auto names = make_enum_names<platform_outcome>({
      {platform_outcome::ok, "ok"},
      {platform_outcome::absent, "absent"},
      {platform_outcome::conflict, "conflict"},
      {platform_outcome::not_applied, "not_applied"},
      {platform_outcome::unknown, "unknown"},
  });
};

struct platform_object {
  std::string name;
  object_version version = 0;
  std::string value;
  friend bool operator==(const platform_object&, const platform_object&) = default;
};

struct platform_result {
  platform_outcome outcome = platform_outcome::unknown;
  platform_object object;  ///< After a write, only its version is valid.
};

struct platform_listing {
  platform_outcome outcome = platform_outcome::unknown;
  std::vector<platform_object> objects;
  std::string next;  ///< Name after which the next page starts; empty on the last page.
};

}  // namespace crocusdoor

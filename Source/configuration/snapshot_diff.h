#pragma once

#include <string>
#include <vector>

#include "configuration/configuration_delta.h"
#include "configuration/resource_kind.h"
#include "configuration/snapshot.h"
#include "core/error.h"
#include "core/record_codec.h"

namespace crocusdoor {

/// One resource that differs between two snapshots.
struct resource_change {
  resource_kind kind = resource_kind::service;
  std::string name;
  change_kind change = change_kind::added;
  json before;  ///< The resource before the change; null if it is added.
  json after;   ///< The resource after the change; null if it is removed.
  friend bool operator==(const resource_change&, const resource_change&) = default;
};

template <>
struct record_fields<resource_change> {
  static constexpr auto table = std::make_tuple(required_field("what", &resource_change::kind),
                                                required_field("name", &resource_change::name),
                                                required_field("change", &resource_change::change),
                                                required_field("before", &resource_change::before),
                                                required_field("after", &resource_change::after));
};

/// Resources that differ, ordered by kind and name; the version number is not compared.
[[nodiscard]] std::vector<resource_change> diff_snapshots(const snapshot& before,
                                                          const snapshot& after);

/// Delta that turns `before` into `after`, whose digest is `after_digest`.
[[nodiscard]] configuration_delta delta_between(const snapshot& before, const snapshot& after,
                                                const digest& after_digest);

/// Number of resources that a delta changes or removes.
[[nodiscard]] std::size_t resource_count(const configuration_delta& delta);

/// Applies a delta to a copy of `base`. Fails with `error_code::stale` if the delta leads to no
/// later version, `conflict` if it starts after the version of `base`, and `invalid` if it names a
/// resource twice. A delta that starts before the version of `base` is applied too, because it
/// replaces whole resources; the result is correct if its digest is `delta.result_digest`. Neither
/// the digest nor the rules of the result are checked here; `configuration_holder` does both.
[[nodiscard]] leaf::result<snapshot> apply_delta(const snapshot& base,
                                                 const configuration_delta& delta);

/// One delta with the combined effect of two consecutive ones; `first.version` must be
/// `second.base`.
[[nodiscard]] configuration_delta compose_deltas(const configuration_delta& first,
                                                 const configuration_delta& second);

}  // namespace crocusdoor

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/route.h"
#include "configuration/run_once_action.h"
#include "configuration/service.h"
#include "configuration/snapshot_index.h"
#include "core/digest.h"
#include "core/error.h"
#include "core/record_codec.h"

namespace crocusdoor {

/// Number of a configuration version; each confirmed change adds one. 0 is the empty configuration.
using version_number = std::uint64_t;

/// Maximum size of the encoded configuration in bytes. The platform stores values of up to 1 MB,
/// and the head object also contains the latest changes.
inline constexpr std::size_t snapshot_size_limit_bytes = 900'000;

/// One whole configuration version. Immutable once it is adopted; a request uses, until it ends,
/// the snapshot that was current when it arrived.
///
/// Make a shared snapshot with `share_snapshot`, which builds the index that `find_route` and
/// `find_action` use; without it they search all routes or actions.
struct snapshot {
  version_number version = 0;
  std::map<service_name, service> services;
  std::map<route_name, route> routes;
  std::map<action_name, run_once_action> actions;
  snapshot_index index;  ///< Derived from the other members; not encoded, compared or copied.
  friend bool operator==(const snapshot&, const snapshot&) = default;
};

template <>
struct record_fields<snapshot> {
  static constexpr auto table = std::make_tuple(required_field("version", &snapshot::version),
                                                required_field("services", &snapshot::services),
                                                required_field("routes", &snapshot::routes),
                                                required_field("actions", &snapshot::actions));
};

using snapshot_pointer = std::shared_ptr<const snapshot>;

/// Moves a snapshot into a shared pointer and builds its index. `similar`, a snapshot with mostly
/// the same resources (usually the previous version), makes this faster if its index is built.
[[nodiscard]] snapshot_pointer share_snapshot(snapshot content, const snapshot* similar = nullptr);

/// The encoded form whose size counts against the limit: JSON with sorted keys.
[[nodiscard]] std::string encode_snapshot(const snapshot& content);

/// Digest of the whole content, the version included. It encodes the whole content unless the index
/// is built.
[[nodiscard]] digest digest_of(const snapshot& content);

/// One problem for each rule that the content breaks; empty for a valid configuration. The size
/// limit is not checked here; callers compare it with `snapshot_fingerprints::encoded_size`.
[[nodiscard]] std::vector<decode_problem> validate(const snapshot& content);

/// Decodes and validates a whole snapshot. Fails with `error_code::malformed`, `invalid` or
/// `over_limit`; the message names every problem with its JSON pointer.
[[nodiscard]] leaf::result<snapshot> parse_snapshot(const json& document);

/// Route with the longest prefix of whole path segments, or nullptr. The path may end in a query.
[[nodiscard]] const route* find_route(const snapshot& content, std::string_view path);

/// Run-once action that covers a request to a service, or nullptr.
[[nodiscard]] const run_once_action* find_action(const snapshot& content,
                                                 const service_name& target_service,
                                                 std::string_view method, std::string_view path);

}  // namespace crocusdoor

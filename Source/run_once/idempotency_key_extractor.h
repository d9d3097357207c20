#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "configuration/run_once_action.h"
#include "core/error.h"
#include "run_once/claim.h"

namespace crocusdoor {

/// Longest idempotency key, in bytes.
inline constexpr std::size_t idempotency_key_limit_bytes = 256;

/// Takes the idempotency key out of a request, from where the action says it is. Header names are
/// compared without regard to case. `path` may end in a query, which is not searched. A body field
/// may be a string or an integer.
///
/// Fails with `not_found` (missing or empty), `malformed` (the body is no JSON object, or the field
/// has another type), `over_limit` or `invalid` (the action names no valid segment number); the
/// message names what is missing. The request is then to be refused as "not run".
[[nodiscard]] leaf::result<idempotency_key> extract_key(
    const run_once_action& action, std::string_view method, std::string_view path,
    const std::map<std::string, std::string>& headers, std::string_view body);

}  // namespace crocusdoor

#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "configuration/run_once_action.h"
#include "core/error.h"
#include "run_once/claim.h"

namespace crocusdoor {

/// Maximum length of an idempotency key, in bytes.
inline constexpr std::size_t idempotency_key_limit_bytes = 256;

/// Extracts the idempotency key from the header, path segment or body field that the action names.
/// Header names are compared case-insensitively. `path` may end in a query string, which is not
/// searched. A body field may be a string or an integer.
///
/// Fails with `not_found` (the key is missing or empty), `malformed` (the body is not a JSON
/// object, or the field is neither a string nor an integer), `over_limit` (the key is too long) or
/// `invalid` (the action's segment number is not a number); the message describes the location and
/// the fault. The caller must then refuse the request as "not run".
[[nodiscard]] leaf::result<idempotency_key> extract_key(
    const run_once_action& action, std::string_view method, std::string_view path,
    const std::map<std::string, std::string>& headers, std::string_view body);

}  // namespace crocusdoor

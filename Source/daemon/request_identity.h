#pragma once

#include <string>
#include <string_view>

#include "core/digest.h"
#include "core/strong_string.h"
#include "wire/message.h"

namespace crocusdoor {

/// Digest of service, method, path and body. It identifies a request that crashes targets when a
/// caller repeats it.
[[nodiscard]] inline digest request_digest(const wire::call& request) {
  return digest_of({request.service.str(), request.method, request.path, request.body.bytes});
}

/// Digest of the body alone. It detects that an idempotency key is reused with another body.
[[nodiscard]] inline digest body_digest(const wire::call& request) {
  return digest_of(request.body.bytes);
}

}  // namespace crocusdoor

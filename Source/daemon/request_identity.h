#pragma once

#include <string>
#include <string_view>

#include "core/digest.h"
#include "core/strong_string.h"
#include "wire/message.h"

namespace crocusdoor {

/// Digest by which requests that crash targets are recognised when their callers repeat them:
/// service, method, path and body.
[[nodiscard]] inline digest request_digest(const wire::call& request) {
  return digest_of({request.service.str(), request.method, request.path, request.body.bytes});
}

/// Digest of the body alone, by which a reused idempotency key with another body is recognised.
[[nodiscard]] inline digest body_digest(const wire::call& request) {
  return digest_of(request.body.bytes);
}

}  // namespace crocusdoor

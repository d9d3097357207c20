#pragma once

#include <algorithm>
#include <string>
#include <string_view>

#include "core/digest.h"
#include "core/strong_string.h"
#include "transport/http_types.h"
#include "wire/message.h"

namespace crocusdoor {

/// Digest of service, method, path and body. It identifies a request that crashes targets when a
/// caller repeats it.
[[nodiscard]] inline digest request_digest(const wire::call& request) {
  return digest_of({request.service.str(), request.method, request.path, request.body.bytes});
}

/// Digest of method, host, path and body, which stay the same when a caller repeats a request, also
/// if its route leads to another service by then.
[[nodiscard]] inline digest repeated_request_digest(const wire::call& request) {
  const header_name_less less;
  const std::string host_name = "Host";
  const auto host =
      std::find_if(request.headers.begin(), request.headers.end(), [&](const auto& header) {
        return !less(header.first, host_name) && !less(host_name, header.first);
      });
  return digest_of({request.method,
                    host == request.headers.end() ? std::string_view() : host->second, request.path,
                    request.body.bytes});
}

/// Digest of the body alone. It detects that an idempotency key is reused with another body.
[[nodiscard]] inline digest body_digest(const wire::call& request) {
  return digest_of(request.body.bytes);
}

}  // namespace crocusdoor

#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "core/digest.h"
#include "core/strong_string.h"
#include "suspicion/crash_counts.h"
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

/// A request with its headers as features, so that the requests of different callers can be told
/// apart. Leaves out the headers named, which differ in each sending, and `Host`.
[[nodiscard]] inline repeated_request identify_repeated_request(
    const wire::call& request, const std::vector<std::string>& left_out) {
  constexpr std::size_t feature_limit = 24;
  const header_name_less less;
  const auto same = [&](const std::string& left, const std::string& right) {
    return !less(left, right) && !less(right, left);
  };
  repeated_request result{repeated_request_digest(request), {}};
  for (const auto& [name, value] : request.headers) {
    const bool skipped =
        same(name, "Host") ||
        std::any_of(left_out.begin(), left_out.end(),
                    [&, &header = name](const std::string& other) { return same(header, other); });
    if (!skipped && result.features.size() < feature_limit) {
      const digest group = digest_of({result.request.str(), name});
      result.features.push_back({digest_of({group.str(), value}), group});
    }
  }
  return result;
}

/// Digest of the body alone. It detects that an idempotency key is reused with another body.
[[nodiscard]] inline digest body_digest(const wire::call& request) {
  return digest_of(request.body.bytes);
}

}  // namespace crocusdoor

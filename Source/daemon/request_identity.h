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

/// What stands for the body of a call in its digest. A body that follows is not known yet; its size
/// tells it from others.
[[nodiscard]] inline std::string identified_body(const wire::call& request) {
  if (!request.streamed.has_value()) {
    return request.body.bytes;
  }
  return "streamed " + std::to_string(request.streamed->bytes.value_or(0));
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
                    identified_body(request)});
}

/// The headers of a request as features, so that the requests of different callers can be told
/// apart. Leaves out the headers named, which differ in each sending, and `Host`. `identity` is the
/// `repeated_request_digest` of the request.
[[nodiscard]] inline std::vector<request_feature> request_features(
    const wire::call& request, const digest& identity, const std::vector<std::string>& left_out) {
  constexpr std::size_t feature_limit = 24;
  const header_name_less less;
  const auto same = [&](const std::string& left, const std::string& right) {
    return !less(left, right) && !less(right, left);
  };
  std::vector<request_feature> features;
  for (const auto& [name, value] : request.headers) {
    const bool skipped =
        same(name, "Host") ||
        std::any_of(left_out.begin(), left_out.end(),
                    [&, &header = name](const std::string& other) { return same(header, other); });
    if (!skipped && features.size() < feature_limit) {
      const digest group = digest_of({identity.str(), name});
      features.push_back({digest_of({group.str(), value}), group});
    }
  }
  return features;
}

/// What one request is recognised by when a caller repeats it. Each part is computed when it is
/// first needed and kept, so all calls must pass the same request.
class request_identity {
 public:
  /// The digest of the request. The features are there only if they have been needed before.
  [[nodiscard]] const repeated_request& without_features(const wire::call& request) const {
    if (known_.request.empty()) {
      known_.request = repeated_request_digest(request);
    }
    return known_;
  }
  /// The digest and the features of the request, see `request_features`.
  [[nodiscard]] const repeated_request& with_features(
      const wire::call& request, const std::vector<std::string>& left_out) const {
    if (!features_known_) {
      const digest& identity = without_features(request).request;
      known_.features = request_features(request, identity, left_out);
      features_known_ = true;
    }
    return known_;
  }

 private:
  mutable repeated_request known_;
  mutable bool features_known_ = false;
};

/// Digest of the body alone. It detects that an idempotency key is reused with another body.
[[nodiscard]] inline digest body_digest(const wire::call& request) {
  return digest_of(request.body.bytes);
}

}  // namespace crocusdoor

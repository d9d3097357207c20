#pragma once

#include <optional>
#include <string>

#include "configuration/run_once_action.h"
#include "core/time.h"
#include "run_once/claim.h"

namespace crocusdoor {

/// Result of the last check before a request is forwarded to its target.
enum class claim_verdict { allowed, missing, expired, other_operation, other_body };

template <>
struct enum_names<claim_verdict> {
  static constexpr auto names = make_enum_names<claim_verdict>({
      {claim_verdict::allowed, "allowed"},
      {claim_verdict::missing, "missing"},
      {claim_verdict::expired, "expired"},
      {claim_verdict::other_operation, "other_operation"},
      {claim_verdict::other_body, "other_body"},
  });
};

struct claim_check_result {
  claim_verdict result = claim_verdict::allowed;
  std::string reason;  ///< Why the request is refused as "not run"; empty if it is allowed.
  [[nodiscard]] bool allowed() const noexcept { return result == claim_verdict::allowed; }
};

/// Checks a request at the daemon beside its target, immediately before it is forwarded.
/// `action` is the run-once action that matches the request in this daemon's current configuration
/// version, or null; `presented` is the claim that came with the request; `operation` and
/// `body_digest` are computed from the request itself. If the check fails, the request must be
/// refused as "not run" and never forwarded.
[[nodiscard]] claim_check_result check_claim(const run_once_action* action,
                                             const std::optional<claim>& presented,
                                             const operation_key& operation,
                                             const digest& body_digest, wall_time wall);

}  // namespace crocusdoor

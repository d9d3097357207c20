#include "run_once/claim_check.h"

namespace crocusdoor {

claim_check_result check_claim(const run_once_action* action, const std::optional<claim>& presented,
                               const operation_key& operation, const digest& body_digest,
                               wall_time wall) {
  if (!presented.has_value()) {
    if (action == nullptr) {
      return {};
    }
    return {claim_verdict::missing,
            "action \"" + action->name.str() + "\" runs only with a claim, and there is none"};
  }
  const std::int64_t late_ms = wall.time_since_epoch().count() - presented->expires_at_ms;
  if (late_ms >= 0) {
    return {claim_verdict::expired, "the claim expired " + std::to_string(late_ms) + " ms ago"};
  }
  if (action == nullptr) {
    // The configuration version of the sender has the action, and the one of this daemon does not
    // yet. The expiry of the claim applies all the same.
    return {};
  }
  if (action->name != operation.action || presented->operation != operation) {
    return {claim_verdict::other_operation, "the claim is for another operation"};
  }
  if (presented->body_digest != body_digest) {
    return {claim_verdict::other_body, "the claim is for another body"};
  }
  return {};
}

}  // namespace crocusdoor

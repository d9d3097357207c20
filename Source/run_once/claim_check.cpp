#include "run_once/claim_check.h"

namespace crocusdoor {

claim_check_result check_claim(const run_once_action* action, const std::optional<claim>& held,
                               const operation_key& operation, const digest& body_digest,
                               wall_time wall) {
  if (!held.has_value()) {
    if (action == nullptr) {
      return {};
    }
    return {claim_verdict::missing,
            "action \"" + action->name.str() + "\" runs only with a claim, and there is none"};
  }
  const std::int64_t late_ms = wall.time_since_epoch().count() - held->expires_at_ms;
  if (late_ms >= 0) {
    return {claim_verdict::expired, "the claim expired " + std::to_string(late_ms) + " ms ago"};
  }
  if (action == nullptr) {
    // The sender's version marks the action and this one does not yet; the claim still limits it.
    return {};
  }
  if (action->name != operation.action || held->operation != operation) {
    return {claim_verdict::other_operation, "the claim is for another operation"};
  }
  if (held->body_digest != body_digest) {
    return {claim_verdict::other_body, "the claim is for another body"};
  }
  return {};
}

}  // namespace crocusdoor

#include "routing/retry_budget.h"

namespace crocusdoor {

retry_budget::retry_budget(retry_policy policy)
    : policy_(policy), share_(policy.traffic_share, policy.burst) {}

void retry_budget::request_started(time_point /*now*/) {
  share_.earn();
}

bool retry_budget::may_retry(verdict outcome, bool idempotent, std::int32_t attempt,
                             std::int32_t retries_left_on_path, time_point /*now*/) {
  const bool safe = outcome == verdict::not_run || (outcome == verdict::may_have_run && idempotent);
  if (!safe || attempt >= policy_.attempts_limit) {
    return false;
  }
  return !policy_.limited || (retries_left_on_path > 0 && share_.spend());
}

std::int32_t retry_budget::retries_to_send(std::int32_t attempt,
                                           std::int32_t retries_left_on_path) const {
  return attempt == 1 || !policy_.limited ? retries_left_on_path : 0;
}

}  // namespace crocusdoor

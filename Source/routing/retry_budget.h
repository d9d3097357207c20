#pragma once

#include <cstdint>
#include <memory>

#include "core/time.h"
#include "core/verdict.h"
#include "routing/traffic_share.h"

namespace crocusdoor {

/// How many retries a hop allows.
struct retry_policy {
  double traffic_share = 0.1;       ///< Retries per first attempt.
  double burst = 10;                ///< Maximum number of retries that the budget accumulates.
  std::int32_t attempts_limit = 3;  ///< Attempts of one request at one hop, the first included.
  std::int32_t path_retries = 2;    ///< Retries of one request over all hops of its path.
  bool limited = true;              ///< False only in baselines: no budget and no path limit.
  friend bool operator==(const retry_policy&, const retry_policy&) = default;
};

/// Decides whether a failed attempt is repeated. One object per process and called service.
///
/// A hop that gets no response in spite of its retries responds to its own caller with
/// `verdict::ran` (its target did run), so only the hop nearest to a refusal repeats the call.
class retry_budget {
 public:
  explicit retry_budget(retry_policy policy = {});

  /// Counts the first attempt of a request that starts a path or arrived with path retries left.
  /// Call it only for attempt 1 and with retries left on the path: a request that is itself a retry
  /// of a hop above must not add to the budget for further retries.
  void request_started(time_point now);

  /// Whether to send the request again; takes the retry from the budget if so.
  ///
  /// `outcome`: verdict of the failed attempt. "Not run" may be repeated always, "may have run"
  /// only if the call is idempotent, "ran" never, because its response is known.
  /// `attempt`: number of the failed attempt at this hop, from 1.
  /// `retries_left_on_path`: as received with the request, less the retries this hop has made.
  [[nodiscard]] bool may_retry(verdict outcome, bool idempotent, std::int32_t attempt,
                               std::int32_t retries_left_on_path, time_point now);

  /// Value of `retries_left` for a request that starts a path.
  [[nodiscard]] std::int32_t path_retries() const noexcept { return policy_.path_retries; }

  /// Value of `retries_left` to send with an attempt. A repeated attempt carries none, so that
  /// retries at several hops add up instead of multiplying.
  [[nodiscard]] std::int32_t retries_to_send(std::int32_t attempt,
                                             std::int32_t retries_left_on_path) const;

 private:
  retry_policy policy_;
  traffic_share share_;
};

}  // namespace crocusdoor

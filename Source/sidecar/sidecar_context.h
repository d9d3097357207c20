#pragma once

#include "core/random_source.h"
#include "daemon/metrics.h"
#include "daemon/request_identity.h"
#include "link/pending_calls.h"
#include "mesh/retry_window.h"
#include "sidecar/decision_log.h"
#include "sidecar/platform_contract.h"
#include "sidecar/sidecar_settings.h"
#include "sidecar/start_timeline.h"
#include "suspicion/crash_counts.h"
#include "transport/buffer_manager.h"
#include "transport/connection_limit.h"
#include "transport/event_loop.h"

namespace crocusdoor {

/// Objects that all parts of a sidecar share.
struct sidecar_context {
  event_loop& loop;
  random_source& random;
  const sidecar_settings& options;
  const platform_contract& contract;
  /// Limit on the retries of all daemons together; each daemon applies its share.
  const retry_limit& retries;
  crash_counts& crashes;
  decision_log& log;
  metrics& counters;
  start_timeline& start;
  /// Counts and limits what all servers of the process buffer.
  std::shared_ptr<buffer_manager> buffers;
  /// Name and incarnation of this process.
  peer_process self;
  server_connection_limits connections;
};

/// A request with the features by which its caller is told from others, if it is suspected.
/// `identity` is that of `call`.
[[nodiscard]] inline const repeated_request& identify(const sidecar_context& shared,
                                                      const wire::call& call,
                                                      const request_identity& identity) {
  const repeated_request& request = identity.without_features(call);
  if (!shared.crashes.is_suspected(request.request)) {
    return request;
  }
  const exchange_headers& headers = shared.contract.headers;
  return identity.with_features(call,
                                {headers.attempt_id, headers.deadline_ms, headers.expected_target});
}

}  // namespace crocusdoor

#pragma once

#include <functional>
#include <map>

#include "configuration/snapshot.h"
#include "daemon/call_router.h"
#include "daemon/daemon_context.h"
#include "daemon/run_once_service.h"
#include "routing/hedge_policy.h"
#include "routing/retry_budget.h"
#include "routing/upstream_selector.h"

namespace crocusdoor {

/// Services that a `caller_request` uses.
struct caller_services {
  const daemon_context& shared;
  call_router& router;
  run_once_service& run_once;
  upstream_selector& selector;
  hedge_policy& hedges;
  /// Retry budget of a service; created on first use.
  std::function<retry_budget&(const service_name&)> budget_of;
  std::function<snapshot_pointer()> current_snapshot;
  /// Whether the current configuration of this daemon may be served.
  std::function<bool()> ready;
};

}  // namespace crocusdoor

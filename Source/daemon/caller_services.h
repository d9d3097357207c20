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

/// What the requests of callers use.
struct caller_services {
  const daemon_context& shared;
  call_router& router;
  run_once_service& run_once;
  upstream_selector& selector;
  hedge_policy& hedges;
  /// Budget of a service; made at its first use.
  std::function<retry_budget&(const service_name&)> budget_of;
  std::function<snapshot_pointer()> current_snapshot;
  /// Whether this daemon holds a configuration that it may serve.
  std::function<bool()> ready;
};

}  // namespace crocusdoor

#pragma once

#include "core/random_source.h"
#include "daemon/metrics.h"
#include "link/pending_calls.h"
#include "mesh/retry_window.h"
#include "sidecar/decision_log.h"
#include "sidecar/platform_contract.h"
#include "sidecar/sidecar_settings.h"
#include "transport/event_loop.h"

namespace crocusdoor {

/// What every part of a sidecar uses.
struct sidecar_context {
  event_loop& loop;
  random_source& random;
  const sidecar_settings& options;
  const platform_contract& contract;
  /// This daemon's part in the bound on repeats.
  const retry_limit& retries;
  decision_log& log;
  metrics& counters;
  /// This process: name and start.
  peer_process self;
};

}  // namespace crocusdoor

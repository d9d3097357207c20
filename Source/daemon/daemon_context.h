#pragma once

#include "core/random_source.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"
#include "daemon/trace_recorder.h"
#include "transport/event_loop.h"

namespace crocusdoor {

/// What every part of the daemon uses: the loop, randomness, settings, metrics and traces.
struct daemon_context {
  event_loop& loop;
  random_source& random;
  const settings& options;
  metrics& counters;
  trace_recorder& traces;
  /// Wall time of this daemon's start in milliseconds; distinguishes it from its predecessor.
  std::uint64_t incarnation;
};

}  // namespace crocusdoor

#pragma once

#include "core/random_source.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"
#include "daemon/trace_recorder.h"
#include "transport/buffer_manager.h"
#include "transport/connection_limit.h"
#include "transport/event_loop.h"

namespace crocusdoor {

/// Objects that all components of the daemon share.
struct daemon_context {
  event_loop& loop;
  random_source& random;
  const settings& options;
  metrics& counters;
  trace_recorder& traces;
  /// Counts and limits what all servers of the process buffer.
  std::shared_ptr<buffer_manager> buffers;
  /// Wall time of this process's start in milliseconds; distinguishes it from earlier processes of
  /// the instance.
  std::uint64_t incarnation;
  server_connection_limits connections;
};

}  // namespace crocusdoor

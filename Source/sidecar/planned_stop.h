#pragma once

#include <optional>

#include "daemon/peer_mesh.h"
#include "daemon/stop_watch.h"
#include "sidecar/decision_log.h"
#include "sidecar/inbound_work.h"
#include "sidecar/unclaimed_responses.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace crocusdoor {

/// The stop of a sidecar, from SIGTERM to the end of its loop. Callers go on sending requests until
/// they have noticed that the daemon is not ready; what was read is finished.
class planned_stop {
 public:
  struct context {
    event_loop& loop;
    decision_log& log;
    http_server& callers;
    const http_server& registration;
    inbound_work& work;
    const peer_mesh& links;
    unclaimed_responses& unclaimed;
  };

  /// `time_limit` is the time from SIGTERM until the process is killed.
  planned_stop(const context& shared, duration time_limit)
      : shared_(shared), time_limit_(time_limit) {}

  void begin();
  [[nodiscard]] bool begun() const noexcept { return began_at_.has_value(); }
  /// Time at which the process ends even if requests are in progress; empty if no stop has begun.
  [[nodiscard]] std::optional<time_point> end_of_process() const;

 private:
  void proceed();
  [[nodiscard]] bool busy() const;
  void log_state(const char* event) const;

  context shared_;
  duration time_limit_;
  std::optional<time_point> began_at_;
  std::optional<stop_watch> watch_;
  timer_handle timer_;
};

}  // namespace crocusdoor

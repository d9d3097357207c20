#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "core/enum_names.h"
#include "core/time.h"
#include "suspicion/crash_counts.h"
#include "transport/connection_probe.h"
#include "transport/timer_service.h"

namespace crocusdoor {

/// A request whose connection to the target ended before the response.
struct lost_exchange {
  digest request;
  crash_count known;  ///< Count of the request when it began to run.
  time_point lost_at;
};

/// What shows that the target has ended.
enum class crash_evidence {
  connection_refused,  ///< Nobody listens at its address.
  later_start,         ///< A heartbeat of a later start has arrived.
};

template <>
struct enum_names<crash_evidence> {
  static constexpr auto names = make_enum_names<crash_evidence>({
      {crash_evidence::connection_refused, "connection_refused"},
      {crash_evidence::later_start, "later_start"},
  });
};

/// Finds out whether the target beside this daemon has ended with requests in flight.
///
/// A lost connection does not prove that: the target may have reset only this connection. The proof
/// is that nobody listens at its address right afterwards, or a heartbeat of a later start.
class target_crash_watch {
 public:
  struct handlers {
    /// Opens a connection to the target and reports the result.
    std::function<probe_handle(std::function<void(probe_result)>)> probe;
    /// The target has ended with these requests in flight.
    std::function<void(const std::vector<lost_exchange>&, crash_evidence)> target_ended;
    /// This many lost exchanges are not taken for a crash of the target, for this reason.
    std::function<void(std::size_t, const std::string& reason)> forgotten;
  };

  target_crash_watch(timer_service& timers, handlers callbacks);

  /// `settled` is called when it is known whether the target has ended or when the probe has given
  /// up, after `target_ended`.
  void exchange_lost(lost_exchange lost, std::function<void()> settled);
  /// A response arrived over a connection opened earlier, so the target is still the process that
  /// the exchanges were lost with.
  void connection_survived() { forget("connection_survived"); }
  /// The heartbeat of a later start of the target has arrived.
  void later_start();
  /// The target is leaving; its end is not a crash.
  void target_leaving() { forget("target_leaving"); }

 private:
  void probe_ended(probe_result result);
  void report(crash_evidence evidence);
  void forget(const std::string& reason);
  void expire();

  timer_service& timers_;
  handlers callbacks_;
  std::vector<lost_exchange> lost_;
  std::vector<std::function<void()>> waiting_;  ///< Called when the running probe has ended.
  bool probe_running_ = false;
  probe_handle probe_;
};

}  // namespace crocusdoor

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
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
  /// Counts of the request, and of its features if it was suspected, when it began to run.
  std::vector<crash_count> known;
  std::uint64_t target_start = 0;  ///< `born_ms` of the target that ran it; 0 if it is not known.
  time_point lost_at{};
  bool suspected = false;  ///< Whether it has been reported as a possible crash.
  friend bool operator==(const lost_exchange&, const lost_exchange&) = default;
};

using lost_exchanges = std::vector<lost_exchange>;

/// Whether an exchange that the same start of the target ran has a count of the same request or
/// feature. The target can have ended only once, so both together are one crash at most.
[[nodiscard]] bool has_count(const lost_exchange& exchange, std::uint64_t target_start,
                             const digest& request);

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

/// What shows that the target has survived the loss of a connection.
enum class survival_evidence {
  older_connection,  ///< A connection opened before the loss is still open.
  heartbeat,         ///< A heartbeat of the same start has arrived.
  leaving,           ///< The target has announced its departure; its end is planned.
};

template <>
struct enum_names<survival_evidence> {
  static constexpr auto names = make_enum_names<survival_evidence>({
      {survival_evidence::older_connection, "older_connection"},
      {survival_evidence::heartbeat, "heartbeat"},
      {survival_evidence::leaving, "leaving"},
  });
};

/// Finds out whether the target beside this daemon has ended with requests in flight.
///
/// A lost connection does not prove that: the target may have reset only this connection. A lost
/// exchange stays open until something settles it, however late: nobody listens at the target's
/// address, a heartbeat of a later start arrives, or the target shows that it has survived. If it
/// shows no sign of life soon after the loss, the exchange counts as a possible crash in the
/// meantime, because the caller repeats the request elsewhere before the proof arrives.
class target_crash_watch {
 public:
  struct handlers {
    /// Opens a connection to the target and reports the result.
    std::function<probe_handle(std::function<void(probe_result)>)> probe;
    /// When the oldest of the connections to the target that are open was opened.
    std::function<std::optional<time_point>()> oldest_connection;
    /// The target may have ended with these requests in flight.
    std::function<void(const lost_exchanges&)> suspected;
    /// The target has ended with these requests in flight, in the order in which they were lost.
    std::function<void(const lost_exchanges&, crash_evidence)> ended;
    /// The target has survived the loss of these exchanges.
    std::function<void(const lost_exchanges&, survival_evidence)> survived;
  };

  target_crash_watch(timer_service& timers, handlers callbacks);

  /// `release` is called when it is known whether the target may have ended, 100 ms after the loss
  /// at the latest, and after the handler that reports it.
  void exchange_lost(lost_exchange lost, std::function<void()> release);
  /// The newest heartbeat of the target has arrived.
  void heartbeat_received(std::uint64_t target_start);
  /// The target is leaving; its end is not a crash.
  void target_leaving();

 private:
  struct open_exchange {
    lost_exchange lost;
    std::function<void()> release;  ///< Empty once it has been called.
  };

  using exchange_filter = std::function<bool(const lost_exchange&)>;

  void probe();
  void probe_ended(probe_result result);
  void check();
  void schedule_check();
  /// Releases the exchanges that need not wait any longer and reports those without a sign of life.
  void release_held();
  /// Removes the exchanges that match, reports them and releases those that are held.
  void settle(const exchange_filter& matches,
              const std::function<void(const lost_exchanges&)>& report);
  void settle_ended(const exchange_filter& matches, crash_evidence evidence);
  void settle_survived(const exchange_filter& matches, survival_evidence evidence);
  /// Removes the counts that have been reported with another exchange as a possible crash.
  void remove_suspected(lost_exchange& lost) const;
  [[nodiscard]] bool any_held() const;

  timer_service& timers_;
  handlers callbacks_;
  std::vector<open_exchange> open_;
  timer_handle check_timer_;
  bool checks_soon_ = false;  ///< Whether the timer runs at the interval for held responses.
  bool probe_running_ = false;
  probe_handle probe_;
};

}  // namespace crocusdoor

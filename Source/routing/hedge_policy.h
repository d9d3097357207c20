#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/strong_string.h"
#include "core/time.h"
#include "routing/traffic_share.h"

namespace crocusdoor {

/// When a second request is sent although the first has not failed.
struct hedge_settings {
  bool enabled = true;
  double quantile = 0.95;            ///< Of recent latencies.
  double traffic_share = 0.05;       ///< Hedges per request.
  double burst = 10;                 ///< Maximum number of hedges that the budget accumulates.
  std::size_t minimum_samples = 50;  ///< Number of latencies needed before the quantile is used.
  duration minimum_delay = std::chrono::milliseconds(1);  ///< Lower limit of the delay.
  friend bool operator==(const hedge_settings&, const hedge_settings&) = default;
};

/// Decides when to send a hedge: a second request to another upstream. The first response is used,
/// and the request that has not been answered by then is cancelled.
///
/// Use: call `hedge_delay` once per request when it is sent; if there is no response after the
/// delay, call `upstream_selector::hedge_can_help`, then `may_hedge`, and send the request to
/// another upstream. Record the latency of every response.
class hedge_policy {
 public:
  explicit hedge_policy(hedge_settings settings = {});

  /// Delay after which to consider a hedge; empty if the call is not idempotent, or too few
  /// latencies are known. Counts the request as traffic.
  [[nodiscard]] std::optional<duration> hedge_delay(const service_name& service, bool idempotent,
                                                    time_point now);

  /// Whether the budget allows a hedge now; takes it from the budget if so.
  [[nodiscard]] bool may_hedge(const service_name& service, time_point now);

  /// Records the time from sending a request to its response, for the attempt that was answered
  /// first.
  void record_latency(const service_name& service, duration latency, time_point now);

 private:
  struct service_latencies {
    explicit service_latencies(const hedge_settings& settings)
        : budget(settings.traffic_share, settings.burst) {}
    std::vector<std::int64_t> window_us;  // ring of the latest latencies
    std::size_t next = 0;
    std::size_t responses_until_update = 0;
    duration quantile{0};
    traffic_share budget;
  };

  [[nodiscard]] service_latencies& latencies_of(const service_name& service);
  void update_quantile(service_latencies& latencies) const;

  hedge_settings settings_;
  std::unordered_map<service_name, service_latencies> services_;
};

}  // namespace crocusdoor

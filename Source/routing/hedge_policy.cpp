#include "routing/hedge_policy.h"

#include <algorithm>

namespace crocusdoor {

namespace {

// With 512 samples, 25 of them lie above the 95th percentile. Takes about 4 KB per called service.
constexpr std::size_t window_size = 512;
// Selecting the quantile takes about 5 microseconds, so it is not done for every response.
constexpr std::size_t responses_per_update = 32;

}  // namespace

hedge_policy::hedge_policy(hedge_settings settings) : settings_(settings) {}

std::optional<duration> hedge_policy::hedge_delay(const service_name& service, bool idempotent,
                                                  time_point /*now*/) {
  if (!settings_.enabled) {
    return std::nullopt;
  }
  service_latencies& latencies = latencies_of(service);
  latencies.budget.earn();
  if (!idempotent || latencies.window_us.size() < settings_.minimum_samples) {
    return std::nullopt;
  }
  return std::max(settings_.minimum_delay, latencies.quantile);
}

bool hedge_policy::may_hedge(const service_name& service, time_point /*now*/) {
  return settings_.enabled && latencies_of(service).budget.spend();
}

void hedge_policy::record_latency(const service_name& service, duration latency,
                                  time_point /*now*/) {
  service_latencies& latencies = latencies_of(service);
  if (latencies.window_us.size() < window_size) {
    latencies.window_us.push_back(latency.count());
  } else {
    latencies.window_us[latencies.next] = latency.count();
    latencies.next = (latencies.next + 1) % window_size;
  }
  if (latencies.responses_until_update == 0) {
    update_quantile(latencies);
    latencies.responses_until_update = responses_per_update;
  }
  --latencies.responses_until_update;
}

hedge_policy::service_latencies& hedge_policy::latencies_of(const service_name& service) {
  return services_.try_emplace(service, settings_).first->second;
}

void hedge_policy::update_quantile(service_latencies& latencies) const {
  std::vector<std::int64_t> sorted = latencies.window_us;
  const auto rank =
      static_cast<std::size_t>(settings_.quantile * static_cast<double>(sorted.size()));
  const auto position =
      sorted.begin() + static_cast<std::ptrdiff_t>(std::min(rank, sorted.size() - 1));
  std::nth_element(sorted.begin(), position, sorted.end());
  latencies.quantile = duration(*position);
}

}  // namespace crocusdoor

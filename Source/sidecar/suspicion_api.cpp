#include "sidecar/suspicion_api.h"

#include <algorithm>
#include <map>
#include <utility>

#include "daemon/suspicion_clearing.h"

namespace crocusdoor {

suspicion_api::suspicion_api(const sidecar_context& shared,
                             std::function<void(const std::vector<crash_count>&)> cleared)
    : shared_(shared), cleared_(std::move(cleared)) {
  router_.add("GET", "/v1/suspicions", [this](const auto& exchange) { list(*exchange); });
  router_.add("POST", "/v1/suspicions/clear", [this](const auto& exchange) { clear(*exchange); });
}

void suspicion_api::list(http_exchange& exchange) const {
  json suspicions = json::array();
  // A request is listed once, with the largest count of its own and of its features.
  std::map<digest, std::pair<std::int32_t, duration>> listed;
  for (const crash_count& count : shared_.crashes.all()) {
    auto& [crashes, left] = listed[count.base.empty() ? count.request : count.base];
    crashes = std::max(crashes, count.crashes);
    left = std::max(left, shared_.crashes.refusal_left(count.request, shared_.loop.now()));
  }
  for (const auto& [request, worst] : listed) {
    if (worst.first > 0) {
      suspicions.push_back({{"request", request.str()},
                            {"crashes", worst.first},
                            {"refused_ms", to_ms(worst.second)}});
    }
  }
  respond_json(exchange, 200, {{"suspicions", suspicions}});
}

void suspicion_api::clear(http_exchange& exchange) const {
  const auto clearing = read_suspicion_clearing(exchange);
  if (!clearing.has_value()) {
    return;
  }
  std::vector<crash_count> cleared;
  for (const crash_count& known : shared_.crashes.all_of(clearing->request)) {
    const auto count = shared_.crashes.clear(known.request, shared_.loop.now());
    if (count.has_value()) {
      cleared.push_back(*count);
    }
  }
  if (!cleared.empty()) {
    shared_.log.info("suspicion_cleared",
                     {{"request", clearing->request.str()}, {"operator", clearing->operator_name}});
    cleared_(cleared);
  }
  respond_cleared(exchange, !cleared.empty());
}

}  // namespace crocusdoor

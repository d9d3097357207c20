#include "sidecar/suspicion_api.h"

#include <utility>

#include "daemon/suspicion_clearing.h"

namespace crocusdoor {

suspicion_api::suspicion_api(const sidecar_context& shared,
                             std::function<void(const crash_count&)> cleared)
    : shared_(shared), cleared_(std::move(cleared)) {
  router_.add("GET", "/v1/suspicions", [this](const auto& exchange) { list(*exchange); });
  router_.add("POST", "/v1/suspicions/clear", [this](const auto& exchange) { clear(*exchange); });
}

void suspicion_api::list(http_exchange& exchange) const {
  json suspicions = json::array();
  for (const crash_count& count : shared_.crashes.all()) {
    if (count.crashes > 0) {
      const duration left = shared_.crashes.refusal_left(count.request, shared_.loop.now());
      suspicions.push_back({{"request", count.request.str()},
                            {"crashes", count.crashes},
                            {"refused_ms", to_ms(left)}});
    }
  }
  respond_json(exchange, 200, {{"suspicions", suspicions}});
}

void suspicion_api::clear(http_exchange& exchange) const {
  const auto clearing = read_suspicion_clearing(exchange);
  if (!clearing.has_value()) {
    return;
  }
  const auto count = shared_.crashes.clear(clearing->request, shared_.loop.now());
  if (count.has_value()) {
    shared_.log.info("suspicion_cleared",
                     {{"request", count->request.str()}, {"operator", clearing->operator_name}});
    cleared_(*count);
  }
  respond_cleared(exchange, count.has_value());
}

}  // namespace crocusdoor

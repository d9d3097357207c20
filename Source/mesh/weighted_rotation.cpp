#include "mesh/weighted_rotation.h"

#include <algorithm>

namespace crocusdoor {

service_name weighted_rotation::next(const mesh_route& route, random_source& random) {
  if (route.services.size() == 1) {
    routes_.erase(route.name);
    return route.services.front().service;
  }
  double total = 0;
  for (const weighted_service& one : route.services) {
    total += one.weight;
  }
  credits& held = routes_[route.name];
  std::erase_if(held, [&](const auto& entry) {
    return std::none_of(route.services.begin(), route.services.end(),
                        [&](const weighted_service& one) { return one.service == entry.first; });
  });
  const weighted_service* chosen = &route.services.front();
  for (const weighted_service& one : route.services) {
    const auto [credit, added] = held.try_emplace(one.service, 0.0);
    if (added) {
      credit->second = random.fraction() * one.weight;
    }
    credit->second += one.weight;
    if (credit->second > held[chosen->service]) {
      chosen = &one;
    }
  }
  held[chosen->service] -= total;
  return chosen->service;
}

}  // namespace crocusdoor

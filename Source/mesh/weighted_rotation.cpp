#include "mesh/weighted_rotation.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// Upper limit on the number of steps by which a daemon advances a new rotation at its start.
constexpr std::size_t start_limit = 1'000;

}  // namespace

const weighted_service& weighted_rotation::advance(const mesh_route& route, credits& balance) {
  double total = 0;
  const weighted_service* chosen = &route.services.front();
  for (const weighted_service& candidate : route.services) {
    total += candidate.weight;
    balance[candidate.service] += candidate.weight;
    if (balance[candidate.service] > balance[chosen->service]) {
      chosen = &candidate;
    }
  }
  balance[chosen->service] -= total;
  return *chosen;
}

service_name weighted_rotation::next(const mesh_route& route, random_source& random) {
  if (route.services.size() == 1) {
    routes_.erase(route.name);
    return route.services.front().service;
  }
  rotation& current = routes_[route.name];
  if (current.services != route.services) {
    current = {route.services, {}};
    std::size_t total = 0;
    for (const weighted_service& weighted : route.services) {
      total += static_cast<std::size_t>(std::max(weighted.weight, 0));
    }
    const std::size_t start = random.index(std::clamp<std::size_t>(total, 1, start_limit));
    for (std::size_t step = 0; step < start; ++step) {
      (void)advance(route, current.balance);
    }
  }
  return advance(route, current.balance).service;
}

}  // namespace crocusdoor

#include "mesh/weighted_rotation.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// Longest way into a rotation from which a daemon starts.
constexpr std::size_t start_limit = 1'000;

}  // namespace

const weighted_service& weighted_rotation::advance(const mesh_route& route, credits& held) {
  double total = 0;
  const weighted_service* chosen = &route.services.front();
  for (const weighted_service& one : route.services) {
    total += one.weight;
    held[one.service] += one.weight;
    if (held[one.service] > held[chosen->service]) {
      chosen = &one;
    }
  }
  held[chosen->service] -= total;
  return *chosen;
}

service_name weighted_rotation::next(const mesh_route& route, random_source& random) {
  if (route.services.size() == 1) {
    routes_.erase(route.name);
    return route.services.front().service;
  }
  rotation& one = routes_[route.name];
  if (one.services != route.services) {
    one = {route.services, {}};
    std::size_t total = 0;
    for (const weighted_service& part : route.services) {
      total += static_cast<std::size_t>(std::max(part.weight, 0));
    }
    const std::size_t start = random.index(std::clamp<std::size_t>(total, 1, start_limit));
    for (std::size_t step = 0; step < start; ++step) {
      (void)advance(route, one.held);
    }
  }
  return advance(route, one.held).service;
}

}  // namespace crocusdoor

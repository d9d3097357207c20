#pragma once

#include <map>

#include "core/random_source.h"
#include "mesh/mesh_configuration.h"

namespace crocusdoor {

/// Distributes the requests of routes over their services in proportion to the weights. Each daemon
/// rotates on its own from a random start, so that the shares hold over all daemons together and
/// over short times.
class weighted_rotation {
 public:
  /// The service of the next request of a route.
  [[nodiscard]] service_name next(const mesh_route& route, random_source& random);

 private:
  using credits = std::map<service_name, double>;

  /// Progress of the rotation of a route.
  struct rotation {
    std::vector<weighted_service> services;
    credits balance;
  };

  /// Adds each service's weight to its credit and chooses the service with the most credit, whose
  /// credit is then reduced by the sum of the weights.
  [[nodiscard]] static const weighted_service& advance(const mesh_route& route, credits& balance);

  std::map<route_name, rotation> routes_;
};

}  // namespace crocusdoor

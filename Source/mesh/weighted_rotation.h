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

  /// Credit of each service of a route: the service with most of it is next.
  std::map<route_name, credits> routes_;
};

}  // namespace crocusdoor

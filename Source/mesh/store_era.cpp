#include "mesh/store_era.h"

#include <utility>

namespace crocusdoor {

era_relation store_era::observe(std::optional<std::uint64_t> era) {
  if (!era.has_value() || era == newest_) {
    return era_relation::current;
  }
  if (newest_.has_value() && *era < *newest_) {
    return era_relation::outdated;
  }
  const bool first = !std::exchange(newest_, era).has_value();
  return first ? era_relation::current : era_relation::newer;
}

}  // namespace crocusdoor

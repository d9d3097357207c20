#include "mesh/store_era.h"

#include <utility>

namespace crocusdoor {

era_relation store_era::observe(std::uint64_t era) {
  if (era == 0 || era == newest_) {
    return era_relation::current;
  }
  if (era < newest_) {
    return era_relation::outdated;
  }
  const bool first = std::exchange(newest_, era) == 0;
  return first ? era_relation::current : era_relation::newer;
}

}  // namespace crocusdoor

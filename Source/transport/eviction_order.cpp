#include "transport/eviction_order.h"

namespace crocusdoor {

bool is_evicted_before(const connection_standing& left, const connection_standing& right) {
  if (left.use != right.use) {
    return left.use < right.use;
  }
  return left.use == connection_use::idle ? left.idle_time > right.idle_time
                                          : left.bytes_per_s < right.bytes_per_s;
}

}  // namespace crocusdoor

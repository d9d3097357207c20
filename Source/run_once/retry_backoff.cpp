#include "run_once/retry_backoff.h"

#include <algorithm>

#include "core/digest.h"

namespace crocusdoor {

duration retry_backoff::next() {
  // Limits the shift, which would be undefined for 64 bits and more. 2^20 times the first delay
  // exceeds every cap in use.
  constexpr std::uint32_t max_doublings = 20;
  const duration limit =
      std::min<duration>(cap_, first_ * (1LL << std::min(failures_, max_doublings)));
  ++failures_;
  const auto spread = static_cast<std::uint64_t>(limit.count()) + 1;
  return duration(static_cast<duration::rep>(stable_hash(seed_, ++draws_) % spread));
}

}  // namespace crocusdoor

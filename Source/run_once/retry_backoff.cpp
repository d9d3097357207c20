#include "run_once/retry_backoff.h"

#include <algorithm>

#include "core/digest.h"

namespace crocusdoor {

duration retry_backoff::next() {
  // 2^20 times the first delay is above any cap in use; the bound keeps the shift defined.
  constexpr std::uint32_t most_doublings = 20;
  const duration limit =
      std::min<duration>(cap_, first_ * (1LL << std::min(failures_, most_doublings)));
  ++failures_;
  const auto spread = static_cast<std::uint64_t>(limit.count()) + 1;
  return duration(static_cast<duration::rep>(stable_hash(seed_, ++draws_) % spread));
}

}  // namespace crocusdoor

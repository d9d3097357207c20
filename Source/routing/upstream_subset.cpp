#include "routing/upstream_subset.h"

#include <algorithm>
#include <cmath>

#include "core/rendezvous_hash.h"

namespace crocusdoor {

namespace {

// 0: own failure domain, 1: own region, 2: elsewhere.
int distance(const upstream& one, const caller_location& caller) {
  if (one.domain == caller.domain) {
    return 0;
  }
  return one.region == caller.region ? 1 : 2;
}

}  // namespace

std::size_t subset_size(std::size_t upstreams, const connection_limits& limits) {
  const std::size_t most = std::min(upstreams, subset_size_limit);
  const auto accepted = static_cast<double>(limits.connections_per_upstream);
  for (std::size_t size = most; size > 2; --size) {
    const double share = static_cast<double>(size) / static_cast<double>(upstreams);
    const double mean = static_cast<double>(limits.callers) * share;
    if (mean + 4 * std::sqrt(mean * (1 - share)) <= accepted) {
      return size;
    }
  }
  return std::min<std::size_t>(most, 2);
}

std::vector<upstream> choose_subset(std::vector<upstream> upstreams, const caller_location& caller,
                                    std::size_t size) {
  const auto preferred = [&](const upstream& first, const upstream& second) {
    const int first_distance = distance(first, caller);
    const int second_distance = distance(second, caller);
    if (first_distance != second_distance) {
      return first_distance < second_distance;
    }
    const std::uint64_t first_score = rendezvous_score(caller.instance.str(), first.instance);
    const std::uint64_t second_score = rendezvous_score(caller.instance.str(), second.instance);
    return first_score != second_score ? first_score > second_score
                                       : first.instance < second.instance;
  };
  std::sort(upstreams.begin(), upstreams.end(), preferred);
  if (upstreams.size() <= size) {
    return upstreams;
  }
  const auto own = static_cast<std::size_t>(
      std::count_if(upstreams.begin(), upstreams.end(),
                    [&](const upstream& one) { return distance(one, caller) == 0; }));
  const std::size_t others = upstreams.size() - own;
  const std::size_t own_quota =
      std::min(own, std::max((size + 1) / 2, size - std::min(size, others)));
  upstreams.erase(upstreams.begin() + static_cast<std::ptrdiff_t>(own_quota),
                  upstreams.begin() + static_cast<std::ptrdiff_t>(own));
  upstreams.resize(size);
  return upstreams;
}

}  // namespace crocusdoor

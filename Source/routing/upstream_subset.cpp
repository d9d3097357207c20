#include "routing/upstream_subset.h"

#include <algorithm>
#include <cmath>

#include "core/rendezvous_hash.h"

namespace crocusdoor {

namespace {

// 0: same failure domain, 1: same region, 2: another region.
int distance(const upstream& candidate, const caller_location& caller) {
  if (candidate.domain == caller.domain) {
    return 0;
  }
  return candidate.region == caller.region ? 1 : 2;
}

}  // namespace

std::size_t subset_size(std::size_t upstreams, const connection_limits& limits) {
  const std::size_t maximum_size = std::min(upstreams, subset_size_limit);
  const auto connection_limit = static_cast<double>(limits.connections_per_upstream);
  for (std::size_t size = maximum_size; size > 2; --size) {
    const double share = static_cast<double>(size) / static_cast<double>(upstreams);
    const double mean_connections = static_cast<double>(limits.callers) * share;
    if (mean_connections + 4 * std::sqrt(mean_connections * (1 - share)) <= connection_limit) {
      return size;
    }
  }
  return std::min<std::size_t>(maximum_size, 2);
}

std::vector<upstream> choose_subset(std::vector<upstream> upstreams, const caller_location& caller,
                                    std::size_t size) {
  const auto is_preferred = [&](const upstream& first, const upstream& second) {
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
  std::sort(upstreams.begin(), upstreams.end(), is_preferred);
  if (upstreams.size() <= size) {
    return upstreams;
  }
  const auto own_count = static_cast<std::size_t>(
      std::count_if(upstreams.begin(), upstreams.end(),
                    [&](const upstream& candidate) { return distance(candidate, caller) == 0; }));
  const std::size_t other_count = upstreams.size() - own_count;
  const std::size_t own_quota =
      std::min(own_count, std::max((size + 1) / 2, size - std::min(size, other_count)));
  upstreams.erase(upstreams.begin() + static_cast<std::ptrdiff_t>(own_quota),
                  upstreams.begin() + static_cast<std::ptrdiff_t>(own_count));
  upstreams.resize(size);
  return upstreams;
}

}  // namespace crocusdoor

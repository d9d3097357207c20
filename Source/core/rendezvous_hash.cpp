#include "core/rendezvous_hash.h"

#include <algorithm>
#include <utility>

#include "core/digest.h"

namespace crocusdoor {

std::uint64_t rendezvous_score(std::string_view key, const instance_name& member) {
  return stable_hash(member.str(), stable_hash(key));
}

std::vector<instance_name> top_by_rendezvous(std::string_view key,
                                             std::vector<instance_name> members,
                                             std::size_t count) {
  std::vector<std::pair<std::uint64_t, instance_name>> scored;
  scored.reserve(members.size());
  for (instance_name& member : members) {
    const std::uint64_t score = rendezvous_score(key, member);
    scored.emplace_back(score, std::move(member));
  }
  const std::size_t result_count = std::min(count, scored.size());
  const auto highest_first = [](const auto& left, const auto& right) { return left > right; };
  std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(result_count),
                    scored.end(), highest_first);
  std::vector<instance_name> result;
  result.reserve(result_count);
  for (std::size_t i = 0; i < result_count; ++i) {
    result.push_back(std::move(scored[i].second));
  }
  return result;
}

}  // namespace crocusdoor

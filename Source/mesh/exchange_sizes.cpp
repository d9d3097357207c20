#include "mesh/exchange_sizes.h"

namespace crocusdoor {

namespace {

constexpr std::size_t class_limit = 1'024;
/// Weight of the newest exchange in the moving mean.
constexpr double newest_weight = 0.05;

}  // namespace

void exchange_sizes::record(const std::string& work_class, std::size_t bytes) {
  const auto size = static_cast<double>(bytes);
  const auto found = by_class_.find(work_class);
  if (found != by_class_.end()) {
    found->second += newest_weight * (size - found->second);
  } else if (by_class_.size() < class_limit) {
    by_class_.emplace(work_class, size);
  }
}

double exchange_sizes::mean_bytes(const std::string& work_class) const {
  const auto found = by_class_.find(work_class);
  return found == by_class_.end() ? 0 : found->second;
}

}  // namespace crocusdoor

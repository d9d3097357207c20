#include "stand_ins/platform_store.h"

namespace crocusdoor::stand_ins {

const platform_store::object* platform_store::find(const std::string& kind,
                                                   const std::string& name) const {
  const auto objects = kinds_.find(kind);
  if (objects == kinds_.end()) {
    return nullptr;
  }
  const auto found = objects->second.find(name);
  return found == objects->second.end() ? nullptr : &found->second;
}

std::uint64_t platform_store::version_of(const std::string& kind, const std::string& name) const {
  const object* found = find(kind, name);
  return found == nullptr ? 0 : found->version;
}

bool platform_store::holds(const write_condition& condition, const object* found) {
  if (found == nullptr) {
    return !condition.must_exist && !condition.version.has_value();
  }
  return !condition.must_be_absent && condition.version.value_or(found->version) == found->version;
}

write_outcome platform_store::put(const std::string& kind, const std::string& name,
                                  std::string value, const write_condition& condition) {
  const object* found = find(kind, name);
  const bool existed = found != nullptr;
  if (!holds(condition, found)) {
    return {false, false, existed, version_of(kind, name)};
  }
  const std::uint64_t version = ++last_version_;
  kinds_[kind][name] = {std::move(value), version};
  return {true, !existed, existed, version};
}

write_outcome platform_store::erase(const std::string& kind, const std::string& name,
                                    const write_condition& condition) {
  const object* found = find(kind, name);
  const bool existed = found != nullptr;
  if (!existed || !holds(condition, found)) {
    return {false, false, existed, version_of(kind, name)};
  }
  ++last_version_;
  kinds_[kind].erase(name);
  return {true, false, true, 0};
}

platform_store::page platform_store::list(const std::string& kind, const std::string& prefix,
                                          const std::string& after, std::size_t limit,
                                          std::size_t size_limit) const {
  page result;
  const auto objects = kinds_.find(kind);
  if (objects == kinds_.end()) {
    return result;
  }
  std::size_t size = 0;
  auto next = after >= prefix && !after.empty() ? objects->second.upper_bound(after)
                                                : objects->second.lower_bound(prefix);
  for (; next != objects->second.end() && next->first.starts_with(prefix); ++next) {
    const std::size_t added = next->first.size() + next->second.value.size();
    const bool full = result.objects.size() >= limit || size + added > size_limit;
    if (full && !result.objects.empty()) {
      result.next = result.objects.back().name;
      return result;
    }
    size += added;
    result.objects.push_back({next->first, next->second});
  }
  return result;
}

}  // namespace crocusdoor::stand_ins

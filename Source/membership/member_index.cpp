#include "membership/member_index.h"

#include <algorithm>
#include <tuple>

#include "core/digest.h"

namespace crocusdoor {

namespace {

bool before(const member_index::member& left, const member_index::member& right) {
  return std::tie(left.position, left.record->name) < std::tie(right.position, right.record->name);
}

}  // namespace

std::uint64_t member_index::position_of(const instance_name& name) {
  return stable_hash(name.str());
}

void member_index::put(const member& entry) {
  members& ring = domains_[entry.record->domain];
  const auto place = std::lower_bound(ring.begin(), ring.end(), entry, before);
  if (place != ring.end() && place->record->name == entry.record->name) {
    *place = entry;
    return;
  }
  ring.insert(place, entry);
  ++size_;
}

void member_index::remove(const instance_record& record) {
  const auto domain = domains_.find(record.domain);
  if (domain == domains_.end()) {
    return;
  }
  members& ring = domain->second;
  const member wanted{position_of(record.name), record.state, record.state, &record};
  const auto place = std::lower_bound(ring.begin(), ring.end(), wanted, before);
  if (place == ring.end() || place->record->name != record.name) {
    return;
  }
  ring.erase(place);
  --size_;
  if (ring.empty()) {
    domains_.erase(domain);
  }
}

}  // namespace crocusdoor

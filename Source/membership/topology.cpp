#include "membership/topology.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "core/digest.h"

namespace crocusdoor {

namespace {

using member = member_index::member;

/// Rendezvous score of a member for a key. It mixes the key with the stored hash of the member's
/// name, so that the names are not hashed again for each key.
std::uint64_t score_of(std::uint64_t key, const member& candidate) {
  std::uint64_t mixed = key ^ candidate.position;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
  return mixed ^ (mixed >> 31U);
}

/// Keeps the `count` members with the highest scores for a key.
class best_members {
 public:
  best_members(std::string_view key, std::size_t count) : key_(stable_hash(key)), count_(count) {}

  void offer(const member& candidate) {
    const std::uint64_t score = score_of(key_, candidate);
    if (score < minimum_score_ || count_ == 0) {
      return;
    }
    insert({score, &candidate});
  }

  [[nodiscard]] bool empty() const noexcept { return best_.empty(); }

  [[nodiscard]] std::vector<instance_name> names() const {
    std::vector<instance_name> result;
    result.reserve(best_.size());
    for (const auto& [score, chosen] : best_) {
      result.push_back(chosen->record->name);
    }
    return result;
  }

 private:
  using scored_member = std::pair<std::uint64_t, const member*>;
  static bool better(const scored_member& left, const scored_member& right) {
    return left.first != right.first ? left.first > right.first
                                     : left.second->record->name < right.second->record->name;
  }

  void insert(const scored_member& scored) {
    best_.insert(std::upper_bound(best_.begin(), best_.end(), scored, better), scored);
    if (best_.size() > count_) {
      best_.pop_back();
    }
    minimum_score_ = best_.size() == count_ ? best_.back().first : 0;
  }

  std::uint64_t key_;
  std::size_t count_;
  std::uint64_t minimum_score_ = 0;  ///< Members with a lower score are not among the best.
  std::vector<scored_member> best_;
};

void append_new(std::vector<instance_name>& chosen, const std::vector<instance_name>& more,
                std::size_t limit) {
  for (const instance_name& name : more) {
    if (chosen.size() < limit && std::find(chosen.begin(), chosen.end(), name) == chosen.end()) {
      chosen.push_back(name);
    }
  }
}

std::vector<instance_name> choose_inside(const member_index::members& ring,
                                         const instance_record& self) {
  std::vector<instance_name> chosen;
  const auto own = std::find_if(ring.begin(), ring.end(), [&](const member& candidate) {
    return candidate.record->name == self.name;
  });
  const auto place = static_cast<std::size_t>(own - ring.begin());
  const std::size_t others = ring.size() - (own == ring.end() ? 0 : 1);
  for (std::size_t step = 1; step <= std::min<std::size_t>(2, others); ++step) {
    chosen.push_back(ring[(place + step) % ring.size()].record->name);
  }
  best_members by_hash(self.name.str(), neighbours_inside);
  for (const member& candidate : ring) {
    if (candidate.record->name != self.name) {
      by_hash.offer(candidate);
    }
  }
  append_new(chosen, by_hash.names(), neighbours_inside);
  return chosen;
}

std::vector<instance_name> choose_outside(const member_index& members,
                                          const instance_record& self) {
  std::vector<instance_name> chosen;
  auto next = members.domains().upper_bound(self.domain);
  if (next == members.domains().end()) {
    next = members.domains().begin();
  }
  best_members by_hash(self.name.str(), neighbours_outside);
  for (const auto& [domain, ring] : members.domains()) {
    if (domain == self.domain) {
      continue;
    }
    best_members in_domain(self.name.str(), domain == next->first ? 1 : 0);
    for (const member& candidate : ring) {
      in_domain.offer(candidate);
      by_hash.offer(candidate);
    }
    append_new(chosen, in_domain.names(), neighbours_outside);
  }
  append_new(chosen, by_hash.names(), neighbours_outside);
  return chosen;
}

}  // namespace

std::vector<instance_name> control_neighbours(const directory& known) {
  return control_neighbours(known, known.self());
}

std::vector<instance_name> control_neighbours(const directory& known,
                                              const instance_record& chooser) {
  const auto own = known.members().domains().find(chooser.domain);
  std::vector<instance_name> chosen;
  if (own != known.members().domains().end()) {
    chosen = choose_inside(own->second, chooser);
  }
  for (instance_name& name : choose_outside(known.members(), chooser)) {
    chosen.push_back(std::move(name));
  }
  return chosen;
}

std::vector<instance_name> watchers(const directory& known, const failure_domain& domain) {
  const auto found = known.members().domains().find(domain);
  if (found == known.members().domains().end()) {
    return {};
  }
  best_members preferred("watch", watchers_per_domain);
  best_members others("watch", watchers_per_domain);
  for (const member& candidate : found->second) {
    const bool active =
        candidate.state == instance_state::starting || candidate.state == instance_state::ready;
    (active ? preferred : others).offer(candidate);
  }
  return preferred.empty() ? others.names() : preferred.names();
}

bool is_watcher(const directory& known) {
  const std::vector<instance_name> chosen = watchers(known, known.self().domain);
  return std::find(chosen.begin(), chosen.end(), known.self().name) != chosen.end();
}

instance_name shard_owner(const directory& known, std::uint32_t shard) {
  const std::string key = "shard/" + std::to_string(shard);
  best_members staying(key, 1);
  best_members leaving(key, 1);
  for (const auto& [domain, ring] : known.members().domains()) {
    for (const member& candidate : ring) {
      (candidate.announced == instance_state::draining ? leaving : staying).offer(candidate);
    }
  }
  const std::vector<instance_name> chosen = staying.empty() ? leaving.names() : staying.names();
  return chosen.empty() ? known.self().name : chosen.front();
}

}  // namespace crocusdoor

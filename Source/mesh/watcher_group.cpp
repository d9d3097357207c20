#include "mesh/watcher_group.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/rendezvous_hash.h"

namespace crocusdoor {

namespace {

/// Key of the rendezvous hashing by which the daemons of a failure domain choose their watchers.
constexpr std::string_view watcher_key = "watch";
constexpr std::size_t watchers_per_domain = 2;

}  // namespace

void watcher_group::set_member(const instance_name& peer, member description) {
  members_[peer] = std::move(description);
}

void watcher_group::remove(const instance_name& peer) {
  members_.erase(peer);
}

std::vector<instance_name> watcher_group::watchers() const {
  std::vector<instance_name> candidates;
  if (!leaving_) {
    candidates.push_back(self_);
  }
  for (const auto& [peer, description] : members_) {
    if (description.domain == own_domain_ && !description.stopping) {
      candidates.push_back(peer);
    }
  }
  return top_by_rendezvous(watcher_key, std::move(candidates), watchers_per_domain);
}

bool watcher_group::is_watcher() const {
  const std::vector<instance_name> chosen = watchers();
  return std::find(chosen.begin(), chosen.end(), self_) != chosen.end();
}

bool watcher_group::is_first_watcher() const {
  const std::vector<instance_name> chosen = watchers();
  return !chosen.empty() && chosen.front() == self_;
}

std::size_t watcher_group::total_watchers() const {
  std::set<failure_domain> domains{own_domain_};
  for (const auto& [peer, description] : members_) {
    domains.insert(description.domain);
  }
  return domains.size() * watchers_per_domain;
}

}  // namespace crocusdoor

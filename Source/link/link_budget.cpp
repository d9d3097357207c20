#include "link/link_budget.h"

namespace crocusdoor {

void link_budget::opened(const instance_name& peer, time_point now) {
  links_.try_emplace(peer, link{0, now});
}

void link_budget::closed(const instance_name& peer) {
  links_.erase(peer);
}

void link_budget::call_started(const instance_name& peer, time_point now) {
  const auto found = links_.find(peer);
  if (found != links_.end()) {
    ++found->second.in_flight;
    found->second.last_used_at = now;
  }
}

void link_budget::call_finished(const instance_name& peer, time_point now) {
  const auto found = links_.find(peer);
  if (found != links_.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
    found->second.last_used_at = now;
  }
}

std::vector<instance_name> link_budget::to_close(time_point now) const {
  std::vector<instance_name> selected;
  auto least_recently_used = links_.end();
  for (auto candidate = links_.begin(); candidate != links_.end(); ++candidate) {
    if (candidate->second.in_flight > 0) {
      continue;
    }
    if (now - candidate->second.last_used_at >= limits_.idle) {
      selected.push_back(candidate->first);
    }
    if (least_recently_used == links_.end() ||
        candidate->second.last_used_at < least_recently_used->second.last_used_at) {
      least_recently_used = candidate;
    }
  }
  if (selected.empty() && !may_open() && least_recently_used != links_.end()) {
    selected.push_back(least_recently_used->first);
  }
  return selected;
}

}  // namespace crocusdoor

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
    found->second.used = now;
  }
}

void link_budget::call_finished(const instance_name& peer, time_point now) {
  const auto found = links_.find(peer);
  if (found != links_.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
    found->second.used = now;
  }
}

std::vector<instance_name> link_budget::to_close(time_point now) const {
  std::vector<instance_name> chosen;
  auto oldest = links_.end();
  for (auto candidate = links_.begin(); candidate != links_.end(); ++candidate) {
    if (candidate->second.in_flight > 0) {
      continue;
    }
    if (now - candidate->second.used >= limits_.idle) {
      chosen.push_back(candidate->first);
    }
    if (oldest == links_.end() || candidate->second.used < oldest->second.used) {
      oldest = candidate;
    }
  }
  if (chosen.empty() && !may_open() && oldest != links_.end()) {
    chosen.push_back(oldest->first);
  }
  return chosen;
}

}  // namespace crocusdoor

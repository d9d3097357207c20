#include "mesh/version_catch_up.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// Watchers deliver nearly all versions within this time, at lower cost. They pause for half a
/// second between two watches.
constexpr duration first_step_delay = std::chrono::milliseconds(600);
/// The store needs this long to send a large version over a link of low bandwidth; requesting the
/// version from a peer at the same time costs both of them as much again.
constexpr duration step_interval = std::chrono::milliseconds(700);
/// Number of versions whose waiting time is recorded. Peers report later versions again.
constexpr std::size_t timed_versions_limit = 64;

}  // namespace

bool version_catch_up::peer_reported(const instance_name& peer, bool same_domain,
                                     std::uint64_t version, time_point now) {
  if (version <= current_version_) {
    return false;
  }
  peer_versions_[peer] = {version, same_domain};
  return first_reported_at_.size() < timed_versions_limit &&
         first_reported_at_.try_emplace(version, now).second;
}

void version_catch_up::peer_lost(const instance_name& peer) {
  peer_versions_.erase(peer);
}

duration version_catch_up::set_current_version(std::uint64_t version, time_point now) {
  current_version_ = std::max(current_version_, version);
  std::erase_if(peer_versions_,
                [&](const auto& entry) { return entry.second.version <= current_version_; });
  duration longest{0};
  while (!first_reported_at_.empty() && first_reported_at_.begin()->first <= current_version_) {
    longest = std::max(longest, now - first_reported_at_.begin()->second);
    first_reported_at_.erase(first_reported_at_.begin());
    last_step_at_ = std::nullopt;
    steps_ = 0;
  }
  return longest;
}

std::optional<time_point> version_catch_up::due() const {
  if (first_reported_at_.empty()) {
    return std::nullopt;
  }
  if (last_step_at_.has_value()) {
    return *last_step_at_ + step_interval;
  }
  const duration delay = current_version_ == 0 ? duration::zero() : first_step_delay;
  return first_reported_at_.begin()->second + delay;
}

std::uint64_t version_catch_up::newest() const {
  return first_reported_at_.empty() ? 0 : first_reported_at_.rbegin()->first;
}

/// Peers that have reported the newest version; if some are in the own failure domain, only those.
std::vector<instance_name> version_catch_up::candidates() const {
  std::pair<std::uint64_t, bool> best{0, false};
  for (const auto& [peer, reported] : peer_versions_) {
    best = std::max(best, std::pair(reported.version, reported.same_domain));
  }
  std::vector<instance_name> chosen;
  for (const auto& [peer, reported] : peer_versions_) {
    if (std::pair(reported.version, reported.same_domain) == best) {
      chosen.push_back(peer);
    }
  }
  return chosen;
}

catch_up_step version_catch_up::take_step(bool store_responds, time_point now) {
  last_step_at_ = now;
  const bool begins_with_store = current_version_ > 0;
  const bool is_store_turn = store_responds && (steps_ % 2 == 0) == begins_with_store;
  ++steps_;
  const std::vector<instance_name> peers = candidates();
  if (is_store_turn || peers.empty()) {
    return {};
  }
  return {peers[peer_steps_++ % peers.size()]};
}

}  // namespace crocusdoor

#include "mesh/version_catch_up.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// Watchers bring nearly all versions in this time, at less cost. They pause for half a second
/// between two watches.
constexpr duration first_step_delay = std::chrono::milliseconds(600);
/// A large version takes the store and a small link this long; asking a peer for it beside that
/// costs both of them as much again.
constexpr duration step_interval = std::chrono::milliseconds(700);
/// Versions whose wait is known. Later ones are heard of again.
constexpr std::size_t heard_limit = 64;

}  // namespace

bool version_catch_up::peer_reported(const instance_name& peer, bool same_domain,
                                     std::uint64_t version, time_point now) {
  if (version <= held_) {
    return false;
  }
  holders_[peer] = {version, same_domain};
  return heard_at_.size() < heard_limit && heard_at_.try_emplace(version, now).second;
}

void version_catch_up::peer_lost(const instance_name& peer) {
  holders_.erase(peer);
}

duration version_catch_up::set_current_version(std::uint64_t version, time_point now) {
  held_ = std::max(held_, version);
  std::erase_if(holders_, [&](const auto& entry) { return entry.second.version <= held_; });
  duration longest{0};
  while (!heard_at_.empty() && heard_at_.begin()->first <= held_) {
    longest = std::max(longest, now - heard_at_.begin()->second);
    heard_at_.erase(heard_at_.begin());
    stepped_at_ = std::nullopt;
    steps_ = 0;
  }
  return longest;
}

std::optional<time_point> version_catch_up::due() const {
  if (heard_at_.empty()) {
    return std::nullopt;
  }
  if (stepped_at_.has_value()) {
    return *stepped_at_ + step_interval;
  }
  const duration delay = held_ == 0 ? duration::zero() : first_step_delay;
  return heard_at_.begin()->second + delay;
}

std::uint64_t version_catch_up::newest() const {
  return heard_at_.empty() ? 0 : heard_at_.rbegin()->first;
}

/// The peers that hold the newest version, those of the own failure domain if there are any.
std::vector<instance_name> version_catch_up::candidates() const {
  std::pair<std::uint64_t, bool> best{0, false};
  for (const auto& [peer, one] : holders_) {
    best = std::max(best, std::pair(one.version, one.same_domain));
  }
  std::vector<instance_name> chosen;
  for (const auto& [peer, one] : holders_) {
    if (std::pair(one.version, one.same_domain) == best) {
      chosen.push_back(peer);
    }
  }
  return chosen;
}

catch_up_step version_catch_up::take_step(bool store_answers, time_point now) {
  stepped_at_ = now;
  const bool turn_of_store = store_answers && steps_ % 2 == 0;
  ++steps_;
  const std::vector<instance_name> peers = candidates();
  if (turn_of_store || peers.empty()) {
    return {};
  }
  return {peers[peer_steps_++ % peers.size()]};
}

}  // namespace crocusdoor

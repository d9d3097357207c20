#include "admission/fair_shares.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// Requests that a workspace has in one turn; within a turn other criteria order them.
constexpr std::int64_t requests_per_turn = 4;
/// Workspaces that are told apart at the same ranks; further ones share one place.
constexpr std::size_t workspace_limit = 1'000;

const workspace_name& other_workspaces() {
  static const workspace_name name("");
  return name;
}

}  // namespace

std::int64_t fair_shares::next_of(const level_state& level, const workspace_name& workspace) {
  auto found = level.next.find(workspace);
  if (found == level.next.end() && level.next.size() >= workspace_limit) {
    found = level.next.find(other_workspaces());
  }
  return found == level.next.end() ? level.now : std::max(found->second, level.now);
}

std::int64_t fair_shares::turn(const ranks& level, const workspace_name& workspace) const {
  const auto found = levels_.find(level);
  return found == levels_.end() ? 0 : next_of(found->second, workspace) / requests_per_turn;
}

std::int64_t fair_shares::add(const ranks& level, const workspace_name& workspace) {
  level_state& state = levels_[level];
  const std::int64_t next = next_of(state, workspace);
  if (state.next.size() >= workspace_limit && !state.next.contains(workspace)) {
    std::erase_if(state.next, [&](const auto& entry) { return entry.second <= state.now; });
  }
  const bool full = state.next.size() >= workspace_limit && !state.next.contains(workspace);
  state.next[full ? other_workspaces() : workspace] = next + 1;
  return next / requests_per_turn;
}

void fair_shares::started(const ranks& level, std::int64_t turn) {
  const auto found = levels_.find(level);
  if (found != levels_.end()) {
    found->second.now = std::max(found->second.now, turn * requests_per_turn);
  }
}

void fair_shares::removed(const ranks& level, const workspace_name& workspace) {
  const auto found = levels_.find(level);
  if (found == levels_.end()) {
    return;
  }
  const auto entry = found->second.next.find(workspace);
  if (entry != found->second.next.end()) {
    entry->second = std::max(entry->second - 1, found->second.now);
  }
}

}  // namespace crocusdoor

#include "core/rendezvous_hash.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace crocusdoor {

namespace {

std::vector<instance_name> make_members(int count) {
  std::vector<instance_name> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    members.emplace_back("instance-" + std::to_string(i));
  }
  return members;
}

}  // namespace

TEST_CASE("the removal of a member moves only the keys assigned to it", "[F1]") {
  const std::vector<instance_name> members = make_members(20);
  std::vector<instance_name> remaining = members;
  remaining.erase(remaining.begin() + 7);
  int moved_keys = 0;
  int assigned_to_removed = 0;
  for (int key = 0; key < 1000; ++key) {
    const std::string text = std::to_string(key);
    const instance_name before = top_by_rendezvous(text, members, 1).front();
    const instance_name after = top_by_rendezvous(text, remaining, 1).front();
    moved_keys += before != after ? 1 : 0;
    assigned_to_removed += before == members[7] ? 1 : 0;
  }
  CHECK(moved_keys == assigned_to_removed);
  CHECK(assigned_to_removed > 0);
}

TEST_CASE("the result does not depend on the order of the members") {
  std::vector<instance_name> members = make_members(9);
  const auto forward = top_by_rendezvous("key", members, 3);
  std::reverse(members.begin(), members.end());
  CHECK(top_by_rendezvous("key", members, 3) == forward);
}

}  // namespace crocusdoor

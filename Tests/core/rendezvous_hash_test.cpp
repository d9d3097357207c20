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

TEST_CASE("the loss of one member moves only the keys that it held", "[F1]") {
  const std::vector<instance_name> members = make_members(20);
  std::vector<instance_name> survivors = members;
  survivors.erase(survivors.begin() + 7);
  int moved = 0;
  int held_by_lost = 0;
  for (int key = 0; key < 1000; ++key) {
    const std::string text = std::to_string(key);
    const instance_name before = top_by_rendezvous(text, members, 1).front();
    const instance_name after = top_by_rendezvous(text, survivors, 1).front();
    moved += before != after ? 1 : 0;
    held_by_lost += before == members[7] ? 1 : 0;
  }
  CHECK(moved == held_by_lost);
  CHECK(held_by_lost > 0);
}

TEST_CASE("the choice does not depend on the order in which members are listed") {
  std::vector<instance_name> members = make_members(9);
  const auto forward = top_by_rendezvous("key", members, 3);
  std::reverse(members.begin(), members.end());
  CHECK(top_by_rendezvous("key", members, 3) == forward);
}

}  // namespace crocusdoor

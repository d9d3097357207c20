#include "mesh/target_registry.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

namespace {

target_announcement announcement(const std::string& id, std::uint64_t born,
                                 std::uint64_t sequence) {
  target_announcement said;
  said.id = id;
  said.born_ms = born;
  said.sequence = sequence;
  said.service = service_name("s");
  said.slots = 12;
  return said;
}

constexpr time_point at(std::int64_t ms) {
  return time_point(std::chrono::milliseconds(ms));
}

}  // namespace

TEST_CASE("the newest word of the target counts, whatever order heartbeats arrive in", "[mesh]") {
  target_registry registry;
  REQUIRE(registry.announce(announcement("a", 100, 5), at(0)) == announcement_result::accepted);

  SECTION("late and repeated heartbeats change nothing") {
    CHECK(registry.announce(announcement("a", 100, 5), at(1)) == announcement_result::repeated);
    CHECK(registry.announce(announcement("a", 100, 4), at(1)) == announcement_result::outdated);
  }
  SECTION("an earlier start that was held up by a partition does not come back") {
    REQUIRE(registry.announce(announcement("b", 200, 1), at(1)) == announcement_result::accepted);
    CHECK(registry.announce(announcement("a", 100, 9), at(2)) == announcement_result::outdated);
    CHECK(registry.target()->announcement.id == "b");
    CHECK(registry.withdraw("a", 100, at(3)) == announcement_result::outdated);
    CHECK(registry.takes_requests());
  }
  SECTION("a start under the same id counts from the beginning") {
    CHECK(registry.announce(announcement("a", 200, 1), at(1)) == announcement_result::accepted);
    CHECK(registry.withdraw("a", 100, at(2)) == announcement_result::outdated);
    CHECK(registry.takes_requests());
  }
  SECTION("a target that drains stays out, also if a heartbeat still says it is ready") {
    target_announcement draining = announcement("a", 100, 6);
    draining.draining = true;
    CHECK(registry.announce(draining, at(10)) == announcement_result::accepted);
    CHECK_FALSE(registry.takes_requests());
    CHECK(registry.announce(announcement("a", 100, 7), at(20)) == announcement_result::accepted);
    CHECK_FALSE(registry.takes_requests());
    CHECK(registry.target()->leaving_since == at(10));
  }
  SECTION("a target that says it goes takes no requests, and its successor does") {
    CHECK(registry.withdraw("a", std::nullopt, at(5)) == announcement_result::accepted);
    CHECK_FALSE(registry.takes_requests());
    CHECK(registry.announce(announcement("b", 200, 1), at(6)) == announcement_result::accepted);
    CHECK(registry.takes_requests());
  }
}

TEST_CASE("a target found by a health check yields to its first heartbeat", "[mesh]") {
  target_registry registry;
  registry.discover(announcement("a", 0, 0));
  CHECK(registry.takes_requests());
  CHECK(registry.announce(announcement("a", 100, 1), at(1)) == announcement_result::accepted);
  registry.forget("b");
  CHECK(registry.takes_requests());
  registry.forget("a");
  CHECK_FALSE(registry.takes_requests());
}

}  // namespace crocusdoor

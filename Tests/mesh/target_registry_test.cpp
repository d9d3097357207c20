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

constexpr std::uint64_t wall_now = 1'000;

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
    CHECK(registry.withdraw("a", 100, wall_now, at(3)) == announcement_result::outdated);
    CHECK(registry.takes_requests());
  }
  SECTION("a start under the same id counts from the beginning") {
    CHECK(registry.announce(announcement("a", 200, 1), at(1)) == announcement_result::accepted);
    CHECK(registry.withdraw("a", 100, wall_now, at(2)) == announcement_result::outdated);
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
    CHECK(registry.withdraw("a", std::nullopt, wall_now, at(5)) == announcement_result::accepted);
    CHECK_FALSE(registry.takes_requests());
    CHECK(registry.announce(announcement("b", 200, 1), at(6)) == announcement_result::accepted);
    CHECK(registry.takes_requests());
  }
}

TEST_CASE("a target that has left before it was known stays out", "[mesh][P7]") {
  // Failure guarded against: a sidecar that had just started acknowledged a leave, and then found
  // the leaving target by its health check or by a delayed heartbeat and sent it requests.
  target_registry registry;
  REQUIRE(registry.withdraw("a", 100, wall_now, at(0)) == announcement_result::accepted);

  SECTION("a health check does not bring it back") {
    registry.discover(announcement("a", 0, 0));
    CHECK_FALSE(registry.takes_requests());
  }
  SECTION("a heartbeat that was sent before does not bring it back") {
    CHECK(registry.announce(announcement("a", 100, 9), at(1)) == announcement_result::outdated);
    CHECK_FALSE(registry.takes_requests());
  }
  SECTION("an earlier start does not take its place") {
    CHECK(registry.announce(announcement("z", 50, 9), at(1)) == announcement_result::outdated);
    CHECK_FALSE(registry.takes_requests());
  }
  SECTION("nor does one that did not say which of its starts goes") {
    // Failure guarded against: a leave without a start was remembered as of no start at all
    // (crewshare-mesh-grown, fresh-31d4).
    target_registry unsaid;
    REQUIRE(unsaid.withdraw("a", std::nullopt, wall_now, at(0)) == announcement_result::accepted);
    CHECK(unsaid.announce(announcement("a", 100, 9), at(1)) == announcement_result::outdated);
    CHECK_FALSE(unsaid.takes_requests());
    CHECK(unsaid.announce(announcement("a", wall_now + 1, 1), at(2)) ==
          announcement_result::accepted);
  }
  SECTION("nor does one that a health check had found") {
    target_registry found;
    found.discover(announcement("a", 0, 0));
    REQUIRE(found.withdraw("a", std::nullopt, wall_now, at(1)) == announcement_result::accepted);
    CHECK(found.announce(announcement("a", 100, 9), at(2)) == announcement_result::outdated);
    CHECK_FALSE(found.takes_requests());
  }
  SECTION("its next start and another target do") {
    registry.discover(announcement("b", 0, 0));
    CHECK(registry.takes_requests());
    CHECK(registry.announce(announcement("a", 200, 1), at(1)) == announcement_result::accepted);
    CHECK(registry.takes_requests());
  }
  SECTION("nor does it come back after its answers showed that it had gone") {
    REQUIRE(registry.announce(announcement("c", 300, 1), at(1)) == announcement_result::accepted);
    registry.forget("c");
    REQUIRE(registry.withdraw("c", 300, wall_now, at(2)) == announcement_result::accepted);
    CHECK(registry.announce(announcement("c", 300, 2), at(3)) == announcement_result::outdated);
    registry.discover(announcement("c", 0, 0));
    CHECK_FALSE(registry.takes_requests());
  }
}

TEST_CASE("a peer's memory of a departure holds after a restart of the daemon", "[mesh][P7]") {
  target_registry before;
  REQUIRE(before.announce(announcement("a", 100, 5), at(0)) == announcement_result::accepted);
  CHECK(before.departure() == std::nullopt);
  REQUIRE(before.withdraw("a", 100, wall_now, at(1)) == announcement_result::accepted);
  const std::optional<target_departure> departure = before.departure();
  REQUIRE(departure == target_departure{"a", 100});

  target_registry after;
  SECTION("told before the first heartbeat") {
    after.restore_departure(*departure, at(2));
    CHECK(after.announce(announcement("a", 100, 4), at(3)) == announcement_result::outdated);
    CHECK_FALSE(after.takes_requests());
  }
  SECTION("told after a delayed heartbeat") {
    CHECK(after.announce(announcement("a", 100, 4), at(2)) == announcement_result::accepted);
    after.restore_departure(*departure, at(3));
    CHECK_FALSE(after.takes_requests());
  }
  SECTION("a later start is not affected") {
    CHECK(after.announce(announcement("a", 200, 1), at(2)) == announcement_result::accepted);
    after.restore_departure(*departure, at(3));
    CHECK(after.takes_requests());
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

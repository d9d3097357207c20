#include "mesh/target_registry.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

namespace {

target_announcement announcement(const std::string& id, std::uint64_t born,
                                 std::uint64_t sequence) {
  target_announcement result;
  result.id = id;
  result.born_ms = born;
  result.sequence = sequence;
  result.service = service_name("s");
  result.slots = 12;
  return result;
}

constexpr std::uint64_t wall_now = 1'000;

constexpr time_point at(std::int64_t ms) {
  return time_point(std::chrono::milliseconds(ms));
}

}  // namespace

TEST_CASE("the newest heartbeat of the target counts, in any order of arrival", "[mesh]") {
  target_registry registry;
  REQUIRE(registry.announce(announcement("a", 100, 5), at(0)) == announcement_result::accepted);

  SECTION("late and repeated heartbeats change nothing") {
    CHECK(registry.announce(announcement("a", 100, 5), at(1)) == announcement_result::repeated);
    CHECK(registry.announce(announcement("a", 100, 4), at(1)) == announcement_result::outdated);
  }
  SECTION("a delayed heartbeat of an earlier start does not replace the later start") {
    REQUIRE(registry.announce(announcement("b", 200, 1), at(1)) == announcement_result::accepted);
    CHECK(registry.announce(announcement("a", 100, 9), at(2)) == announcement_result::outdated);
    CHECK(registry.target()->announcement.id == "b");
    CHECK(registry.withdraw("a", 100, wall_now, at(3)) == announcement_result::outdated);
    CHECK(registry.takes_requests());
  }
  SECTION("a new start under the same id begins with a new sequence") {
    CHECK(registry.announce(announcement("a", 200, 1), at(1)) == announcement_result::accepted);
    CHECK(registry.withdraw("a", 100, wall_now, at(2)) == announcement_result::outdated);
    CHECK(registry.takes_requests());
  }
  SECTION("a draining target takes no requests, even if a later heartbeat reports it as ready") {
    target_announcement draining = announcement("a", 100, 6);
    draining.draining = true;
    CHECK(registry.announce(draining, at(10)) == announcement_result::accepted);
    CHECK_FALSE(registry.takes_requests());
    CHECK(registry.announce(announcement("a", 100, 7), at(20)) == announcement_result::accepted);
    CHECK_FALSE(registry.takes_requests());
    CHECK(registry.target()->leaving_since == at(10));
  }
  SECTION("a withdrawn target takes no requests, and its successor does") {
    CHECK(registry.withdraw("a", std::nullopt, wall_now, at(5)) == announcement_result::accepted);
    CHECK_FALSE(registry.takes_requests());
    CHECK(registry.announce(announcement("b", 200, 1), at(6)) == announcement_result::accepted);
    CHECK(registry.takes_requests());
  }
}

TEST_CASE("a target that has withdrawn before it was registered takes no requests", "[mesh][P7]") {
  // Guards against requests to a target that has left: a sidecar that had just started acknowledged
  // a withdrawal, and then found the target by its health check or by a delayed heartbeat.
  target_registry registry;
  REQUIRE(registry.withdraw("a", 100, wall_now, at(0)) == announcement_result::accepted);

  SECTION("a health check does not register it") {
    registry.discover(announcement("a", 0, 0));
    CHECK_FALSE(registry.takes_requests());
  }
  SECTION("a heartbeat that was sent before the withdrawal does not register it") {
    CHECK(registry.announce(announcement("a", 100, 9), at(1)) == announcement_result::outdated);
    CHECK_FALSE(registry.takes_requests());
  }
  SECTION("an earlier start is not registered") {
    CHECK(registry.announce(announcement("z", 50, 9), at(1)) == announcement_result::outdated);
    CHECK_FALSE(registry.takes_requests());
  }
  SECTION("a withdrawal without a start covers all starts until then") {
    // Guards against a withdrawal without a start that was recorded as covering no start at all
    // (crewshare-mesh-grown, fresh-31d4).
    target_registry without_start;
    REQUIRE(without_start.withdraw("a", std::nullopt, wall_now, at(0)) ==
            announcement_result::accepted);
    CHECK(without_start.announce(announcement("a", 100, 9), at(1)) ==
          announcement_result::outdated);
    CHECK_FALSE(without_start.takes_requests());
    CHECK(without_start.announce(announcement("a", wall_now + 1, 1), at(2)) ==
          announcement_result::accepted);
  }
  SECTION("a withdrawal without a start covers a target found by a health check") {
    target_registry found_by_check;
    found_by_check.discover(announcement("a", 0, 0));
    REQUIRE(found_by_check.withdraw("a", std::nullopt, wall_now, at(1)) ==
            announcement_result::accepted);
    CHECK(found_by_check.announce(announcement("a", 100, 9), at(2)) ==
          announcement_result::outdated);
    CHECK_FALSE(found_by_check.takes_requests());
  }
  SECTION("its next start and another target are registered") {
    registry.discover(announcement("b", 0, 0));
    CHECK(registry.takes_requests());
    CHECK(registry.announce(announcement("a", 200, 1), at(1)) == announcement_result::accepted);
    CHECK(registry.takes_requests());
  }
  SECTION("a target that was removed and then withdrew is not registered again") {
    REQUIRE(registry.announce(announcement("c", 300, 1), at(1)) == announcement_result::accepted);
    registry.forget("c");
    REQUIRE(registry.withdraw("c", 300, wall_now, at(2)) == announcement_result::accepted);
    CHECK(registry.announce(announcement("c", 300, 2), at(3)) == announcement_result::outdated);
    registry.discover(announcement("c", 0, 0));
    CHECK_FALSE(registry.takes_requests());
  }
}

TEST_CASE("a withdrawal is recorded whatever else is registered", "[mesh][P7]") {
  // Failure guarded against: a target whose first heartbeat came after its acknowledged withdrawal
  // got requests, because its predecessor was still registered (review/3).
  target_registry registry;
  REQUIRE(registry.announce(announcement("a", 100, 5), at(0)) == announcement_result::accepted);
  const auto expect_departed = [&](const std::string& id, std::uint64_t born) {
    CHECK(registry.announce(announcement(id, born, 1), at(9)) == announcement_result::outdated);
    CHECK_FALSE(registry.takes_requests());
    CHECK(registry.announce(announcement("next", born + 1'000, 1), at(9)) ==
          announcement_result::accepted);
    CHECK(registry.takes_requests());
  };

  SECTION("a predecessor under another id") {
    CHECK(registry.withdraw("b", 200, wall_now, at(1)) == announcement_result::accepted);
    CHECK_FALSE(registry.takes_requests());
    expect_departed("b", 200);
  }
  SECTION("an earlier start under the same id") {
    CHECK(registry.withdraw("a", 200, wall_now, at(1)) == announcement_result::accepted);
    CHECK_FALSE(registry.takes_requests());
    expect_departed("a", 200);
  }
  SECTION("another target, and the withdrawal states no start") {
    CHECK(registry.withdraw("b", std::nullopt, wall_now, at(1)) == announcement_result::accepted);
    CHECK(registry.takes_requests());
    CHECK(registry.announce(announcement("b", 200, 1), at(2)) == announcement_result::outdated);
    CHECK(registry.target()->announcement.id == "a");

    SECTION("which does not affect the starts of other targets after a restart of the daemon") {
      target_registry restarted;
      for (const target_departure& departure : registry.departures().all()) {
        restarted.record_departure(departure, at(3));
      }
      CHECK(restarted.announce(announcement("b", 200, 1), at(4)) == announcement_result::outdated);
      CHECK(restarted.announce(announcement("a", 100, 6), at(4)) == announcement_result::accepted);
    }
  }
  SECTION("two successors, which leave one after the other") {
    CHECK(registry.withdraw("b", 200, wall_now, at(1)) == announcement_result::accepted);
    CHECK(registry.withdraw("c", 300, wall_now, at(2)) == announcement_result::accepted);
    CHECK(registry.announce(announcement("b", 200, 1), at(3)) == announcement_result::outdated);
    expect_departed("c", 300);
  }
  SECTION("a later start, which is not affected") {
    REQUIRE(registry.announce(announcement("b", 200, 1), at(1)) == announcement_result::accepted);
    CHECK(registry.withdraw("a", 100, wall_now, at(2)) == announcement_result::outdated);
    CHECK(registry.takes_requests());
    CHECK(registry.departures().all() == std::vector{target_departure{"a", 100}});
  }
  SECTION("a draining heartbeat that arrives after a later one of the same start") {
    target_announcement draining = announcement("a", 100, 4);
    draining.draining = true;
    CHECK(registry.announce(draining, at(1)) == announcement_result::outdated);
    CHECK_FALSE(registry.takes_requests());
  }
}

TEST_CASE("the departures at one address merge in any order, and their number is limited",
          "[mesh][F12]") {
  target_departures departures;
  CHECK(departures.add({"b", 200}));
  CHECK_FALSE(departures.add({"a", 100}));
  CHECK_FALSE(departures.add({"b", 200}));
  CHECK(departures.covers("a", 100));
  CHECK_FALSE(departures.covers("b", 201));
  CHECK(departures.covers("b", 0));
  CHECK_FALSE(departures.covers("c", 0));
  CHECK(departures.add({"d", 900, false}));
  CHECK(departures.covers("d", 900));
  CHECK_FALSE(departures.covers("e", 900));
  for (std::uint64_t number = 0; number < 100; ++number) {
    CHECK(departures.add({"x" + std::to_string(number), 1'000 + number, false}));
  }
  CHECK(departures.all().size() < 10);
  CHECK(departures.covers("b", 200));
  CHECK(departures.covers("x99", 1'099));
}

TEST_CASE("a departure that a peer has kept takes effect after a restart of the daemon",
          "[mesh][P7]") {
  target_registry before;
  REQUIRE(before.announce(announcement("a", 100, 5), at(0)) == announcement_result::accepted);
  CHECK(before.departures().all().empty());
  REQUIRE(before.withdraw("a", 100, wall_now, at(1)) == announcement_result::accepted);
  REQUIRE(before.departures().all() == std::vector{target_departure{"a", 100}});
  const target_departure departure = before.departures().all().front();

  target_registry after;
  SECTION("received before the first heartbeat") {
    after.record_departure(departure, at(2));
    CHECK(after.announce(announcement("a", 100, 4), at(3)) == announcement_result::outdated);
    CHECK_FALSE(after.takes_requests());
  }
  SECTION("received after a delayed heartbeat") {
    CHECK(after.announce(announcement("a", 100, 4), at(2)) == announcement_result::accepted);
    after.record_departure(departure, at(3));
    CHECK_FALSE(after.takes_requests());
  }
  SECTION("a later start is not affected") {
    CHECK(after.announce(announcement("a", 200, 1), at(2)) == announcement_result::accepted);
    after.record_departure(departure, at(3));
    CHECK(after.takes_requests());
  }
}

TEST_CASE("the first heartbeat replaces a target found by a health check", "[mesh]") {
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

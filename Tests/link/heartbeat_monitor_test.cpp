#include "link/heartbeat_monitor.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

using namespace std::chrono_literals;

TEST_CASE("a link that goes silent is noticed within 3 s of the first lost heartbeat", "[F7]") {
  const time_point opened{1h};
  heartbeat_monitor monitor(opened);
  const auto run_until = [&](time_point from, time_point to, auto&& on_heartbeat) {
    for (time_point now = from; now <= to; now += 100ms) {
      if (const auto sequence = monitor.tick(now)) {
        on_heartbeat(*sequence, now);
      }
    }
  };
  const auto answer = [&](std::uint64_t sequence, time_point now) {
    CHECK(monitor.answered(sequence, now + 3ms));
  };
  const auto lose = [](std::uint64_t, time_point) {};
  run_until(opened, opened + 10s, answer);
  CHECK(monitor.condition(opened + 10s) == link_condition::usable);
  CHECK(monitor.round_trip() == duration(3ms));

  SECTION("no answers any more") {
    run_until(opened + 10100ms, opened + 13900ms, lose);
    CHECK(monitor.condition(opened + 13900ms) == link_condition::unchecked);
    run_until(opened + 14s, opened + 14100ms, lose);
    CHECK(monitor.condition(opened + 14100ms) == link_condition::silent);
  }
  SECTION("messages of the peer do not hide that it hears nothing") {
    for (time_point now = opened + 10100ms; now <= opened + 14100ms; now += 100ms) {
      monitor.tick(now);
      monitor.received(now);
    }
    CHECK(monitor.condition(opened + 14100ms) == link_condition::silent);
  }
  SECTION("a pause of this process is not a silence of the peer") {
    run_until(opened + 11s, opened + 11s, lose);
    monitor.tick(opened + 60s);
    CHECK(monitor.condition(opened + 60s) == link_condition::unchecked);
    CHECK(monitor.answered(12, opened + 60s));
    CHECK(monitor.condition(opened + 60s) == link_condition::usable);
  }
  SECTION("an idle link is checked before use") {
    CHECK(monitor.condition(opened + 12100ms) == link_condition::unchecked);
    const auto probe = monitor.probe(opened + 12100ms);
    REQUIRE(probe);
    CHECK_FALSE(monitor.probe(opened + 12110ms));
    CHECK(monitor.answered(*probe, opened + 12115ms));
    CHECK(monitor.condition(opened + 12120ms) == link_condition::usable);
  }
  SECTION("repeated and invented answers count for nothing") {
    CHECK_FALSE(monitor.answered(11, opened + 10s));
    CHECK_FALSE(monitor.answered(99, opened + 10s));
  }
}

}  // namespace crocusdoor

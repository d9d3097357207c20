#include "link/heartbeat_monitor.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

using namespace std::chrono_literals;

TEST_CASE("a silent link is detected within 3 s of the first lost heartbeat", "[F7]") {
  const time_point opened_at{1h};
  heartbeat_monitor monitor(opened_at);
  const auto run_until = [&](time_point from, time_point to, auto&& on_heartbeat) {
    for (time_point now = from; now <= to; now += 100ms) {
      if (const auto sequence = monitor.tick(now)) {
        on_heartbeat(*sequence, now);
      }
    }
  };
  const auto answer_heartbeat = [&](std::uint64_t sequence, time_point now) {
    CHECK(monitor.answered(sequence, now + 3ms));
  };
  const auto lose_heartbeat = [](std::uint64_t, time_point) {};
  run_until(opened_at, opened_at + 10s, answer_heartbeat);
  CHECK(monitor.condition(opened_at + 10s) == link_condition::usable);
  CHECK(monitor.round_trip() == duration(3ms));

  SECTION("heartbeats are no longer answered") {
    run_until(opened_at + 10100ms, opened_at + 13900ms, lose_heartbeat);
    CHECK(monitor.condition(opened_at + 13900ms) == link_condition::unchecked);
    run_until(opened_at + 14s, opened_at + 14100ms, lose_heartbeat);
    CHECK(monitor.condition(opened_at + 14100ms) == link_condition::silent);
  }
  SECTION("other messages from the peer do not postpone the timeout") {
    for (time_point now = opened_at + 10100ms; now <= opened_at + 14100ms; now += 100ms) {
      monitor.tick(now);
      monitor.received(now);
    }
    CHECK(monitor.condition(opened_at + 14100ms) == link_condition::silent);
  }
  SECTION("a pause of this process does not count as silence of the peer") {
    run_until(opened_at + 11s, opened_at + 11s, lose_heartbeat);
    monitor.tick(opened_at + 60s);
    CHECK(monitor.condition(opened_at + 60s) == link_condition::unchecked);
    CHECK(monitor.answered(12, opened_at + 60s));
    CHECK(monitor.condition(opened_at + 60s) == link_condition::usable);
  }
  SECTION("an idle link is probed before use") {
    CHECK(monitor.condition(opened_at + 12100ms) == link_condition::unchecked);
    const auto probe = monitor.probe(opened_at + 12100ms);
    REQUIRE(probe);
    CHECK_FALSE(monitor.probe(opened_at + 12110ms));
    CHECK(monitor.answered(*probe, opened_at + 12115ms));
    CHECK(monitor.condition(opened_at + 12120ms) == link_condition::usable);
  }
  SECTION("duplicate and unknown heartbeat responses are ignored") {
    CHECK_FALSE(monitor.answered(11, opened_at + 10s));
    CHECK_FALSE(monitor.answered(99, opened_at + 10s));
  }
}

}  // namespace crocusdoor

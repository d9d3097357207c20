#include "link/heartbeat_schedule.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

using namespace std::chrono_literals;

TEST_CASE("heartbeats follow the use of a link", "[F7]") {
  // Failure guarded against: with 58 links at four heartbeats a second each, heartbeats took half
  // of the bytes between zones and a seventh of the smallest machines (silvale-mesh-grown,
  // quiet-1).
  const heartbeat_intervals intervals{250ms, 1s, 800ms};
  const time_point opened{1h};
  heartbeat_schedule schedule(opened);
  const auto heartbeats = [&](time_point from, time_point to, bool heard) {
    int count = 0;
    for (time_point now = from; now < to; now += 50ms) {
      if (schedule.due(intervals, now)) {
        ++count;
      }
      if (heard) {
        schedule.received(now);
      }
    }
    return count;
  };

  SECTION("an idle link has few") {
    heartbeats(opened, opened + 2s, true);
    CHECK(heartbeats(opened + 2s, opened + 12s, true) == 10);
  }
  SECTION("a busy link has many, from its first message on") {
    heartbeats(opened, opened + 3s, true);
    schedule.used(opened + 3s);
    CHECK(schedule.due(intervals, opened + 3s));
    CHECK(heartbeats(opened + 3s + 50ms, opened + 3s + 950ms, true) >= 3);
  }
  SECTION("a busy link that falls silent is given up within the limit") {
    heartbeats(opened, opened + 3s, true);
    schedule.used(opened + 3s);
    CHECK_FALSE(schedule.is_silent(intervals, opened + 3s + 800ms));
    CHECK(schedule.is_silent(intervals, opened + 3s + 850ms));
  }
  SECTION("silence of the idle time does not count against a link that is used again") {
    heartbeats(opened, opened + 3s, true);
    schedule.used(opened + 4s);
    CHECK_FALSE(schedule.is_silent(intervals, opened + 4s));
    schedule.received(opened + 4s + 300ms);
    CHECK_FALSE(schedule.is_silent(intervals, opened + 4s + 950ms));
  }
  SECTION("an idle link that falls silent is given up later") {
    heartbeats(opened, opened + 3s, true);
    CHECK_FALSE(schedule.is_silent(intervals, opened + 6s));
    CHECK(schedule.is_silent(intervals, opened + 6s + 200ms));
  }
}

}  // namespace crocusdoor

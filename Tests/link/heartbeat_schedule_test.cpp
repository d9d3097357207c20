#include "link/heartbeat_schedule.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

using namespace std::chrono_literals;

TEST_CASE("the heartbeat interval and the silence limit depend on the use of a link", "[F7]") {
  // Failure guarded against: with 58 links and four heartbeats a second on each, heartbeats made up
  // half of the bytes between zones and used a seventh of the capacity of the smallest machines
  // (silvale-mesh-grown, quiet-1).
  const heartbeat_intervals intervals{250ms, 1s, 800ms};
  const time_point opened_at{1h};
  heartbeat_schedule schedule(opened_at);
  const auto count_heartbeats = [&](time_point from, time_point to, bool peer_sends) {
    int count = 0;
    for (time_point now = from; now < to; now += 50ms) {
      if (schedule.due(intervals, now)) {
        ++count;
      }
      if (peer_sends) {
        schedule.received(now);
      }
    }
    return count;
  };

  SECTION("an idle link sends heartbeats at the idle interval") {
    count_heartbeats(opened_at, opened_at + 2s, true);
    CHECK(count_heartbeats(opened_at + 2s, opened_at + 12s, true) == 10);
  }
  SECTION("a busy link sends heartbeats at the busy interval from its first message on") {
    count_heartbeats(opened_at, opened_at + 3s, true);
    schedule.used(opened_at + 3s);
    CHECK(schedule.due(intervals, opened_at + 3s));
    CHECK(count_heartbeats(opened_at + 3s + 50ms, opened_at + 3s + 950ms, true) >= 3);
  }
  SECTION("a busy link is reported as silent after the silence limit") {
    count_heartbeats(opened_at, opened_at + 3s, true);
    schedule.used(opened_at + 3s);
    CHECK_FALSE(schedule.is_silent(intervals, opened_at + 3s + 800ms));
    CHECK(schedule.is_silent(intervals, opened_at + 3s + 850ms));
  }
  SECTION("silence while a link was idle does not count once it is busy") {
    count_heartbeats(opened_at, opened_at + 3s, true);
    schedule.used(opened_at + 4s);
    CHECK_FALSE(schedule.is_silent(intervals, opened_at + 4s));
    schedule.received(opened_at + 4s + 300ms);
    CHECK_FALSE(schedule.is_silent(intervals, opened_at + 4s + 950ms));
  }
  SECTION("an idle link is reported as silent after a proportionally longer time") {
    count_heartbeats(opened_at, opened_at + 3s, true);
    CHECK_FALSE(schedule.is_silent(intervals, opened_at + 6s));
    CHECK(schedule.is_silent(intervals, opened_at + 6s + 200ms));
  }
}

}  // namespace crocusdoor

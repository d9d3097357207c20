#include "link/transit_delay.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

using namespace std::chrono_literals;

TEST_CASE("the delay of a message is measured across the clocks of two processes", "[link]") {
  // Failure guarded against: a call that was in transit for 1.4 s was started at the target,
  // because its deadline was counted from the time at which it was read.
  transit_delay delay;
  const duration clock_difference = 5h;
  CHECK(delay.observe(1s, 1s + clock_difference + 2ms) == 0ms);
  CHECK(delay.observe(2s, 2s + clock_difference + 2ms) == 0ms);

  SECTION("the delay is the excess over the fastest message") {
    CHECK(delay.observe(3s, 3s + clock_difference + 702ms) == 700ms);
    CHECK(delay.observe(3'600ms, 3'600ms + clock_difference + 102ms) == 100ms);
    CHECK(delay.observe(4s, 4s + clock_difference + 1ms) == 0ms);
    CHECK(delay.observe(5s, 5s + clock_difference + 2ms) == 1ms);
  }
  SECTION("a transit time that stays longer is no delay after two windows") {
    duration last_delay{0};
    for (duration sent_at = 3s; sent_at < 30s; sent_at += 500ms) {
      last_delay = delay.observe(sent_at, sent_at + clock_difference + 52ms);
    }
    CHECK(last_delay == 0ms);
  }
  SECTION("after a pause of any length the minimum offset is replaced within two windows") {
    CHECK(delay.observe(100s, 100s + clock_difference + 30ms) <= 28ms);
    CHECK(delay.observe(200s, 200s + clock_difference + 30ms) == 0ms);
  }
}

}  // namespace crocusdoor

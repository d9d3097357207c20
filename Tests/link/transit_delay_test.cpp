#include "link/transit_delay.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

using namespace std::chrono_literals;

TEST_CASE("a message tells how long it was on its way by the clocks of two processes", "[link]") {
  // Failure guarded against: a call that was 1.4 s on its way started at the target, because its
  // deadline was counted from when it was read.
  transit_delay delay;
  const duration difference = 5h;  // Of the clocks.
  CHECK(delay.observe(1s, 1s + difference + 2ms) == 0ms);
  CHECK(delay.observe(2s, 2s + difference + 2ms) == 0ms);

  SECTION("it is what goes beyond the fastest message") {
    CHECK(delay.observe(3s, 3s + difference + 702ms) == 700ms);
    CHECK(delay.observe(3'600ms, 3'600ms + difference + 102ms) == 100ms);
    CHECK(delay.observe(4s, 4s + difference + 1ms) == 0ms);
    CHECK(delay.observe(5s, 5s + difference + 2ms) == 1ms);
  }
  SECTION("a way that has become longer for good is no delay after two windows") {
    duration last{0};
    for (duration sent = 3s; sent < 30s; sent += 500ms) {
      last = delay.observe(sent, sent + difference + 52ms);
    }
    CHECK(last == 0ms);
  }
  SECTION("after a pause of any length the first message has none") {
    CHECK(delay.observe(100s, 100s + difference + 30ms) <= 28ms);
    CHECK(delay.observe(200s, 200s + difference + 30ms) == 0ms);
  }
}

}  // namespace crocusdoor

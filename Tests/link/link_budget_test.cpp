#include "link/link_budget.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

using namespace std::chrono_literals;

TEST_CASE("data links are closed when idle or when there are too many, never with calls in flight",
          "[P8][M7]") {
  const time_point start{1h};
  const instance_name first("first");
  const instance_name second("second");
  const instance_name third("third");
  link_budget budget({.links = 3, .idle = 60s});
  budget.opened(first, start);
  budget.opened(second, start + 1s);
  budget.call_started(first, start + 2s);
  CHECK(budget.may_open());
  CHECK(budget.to_close(start + 60s).empty());
  CHECK(budget.to_close(start + 61s) == std::vector{second});
  CHECK(budget.to_close(start + 1h) == std::vector{second});

  SECTION("at the link limit the least recently used link is closed") {
    budget.opened(third, start + 3s);
    CHECK_FALSE(budget.may_open());
    CHECK(budget.to_close(start + 3s) == std::vector{second});
    budget.closed(second);
    CHECK(budget.may_open());
  }
  SECTION("the idle time starts when the last call finishes") {
    budget.call_finished(first, start + 100s);
    CHECK(budget.to_close(start + 159s) == std::vector{second});
    CHECK(budget.to_close(start + 160s).size() == 2);
  }
}

}  // namespace crocusdoor

#include "transport/eviction_order.h"

#include <catch2/catch.hpp>
#include <vector>

#include "transport/connection_limit.h"

namespace crocusdoor {

namespace {

connection_standing idle_for(duration time) {
  return {connection_use::idle, time, 0};
}

connection_standing unfinished_at(double bytes_per_s) {
  return {connection_use::unfinished, duration::zero(), bytes_per_s};
}

}  // namespace

// Failure guarded against: clients that stayed connected kept ordinary callers out.

TEST_CASE("the connection of least use is closed for a new one") {
  SECTION("of two idle connections") {
    SECTION("the one that has been idle for longer goes first") {
      CHECK(
          is_evicted_before(idle_for(std::chrono::seconds(2)), idle_for(std::chrono::seconds(1))));
      CHECK_FALSE(
          is_evicted_before(idle_for(std::chrono::seconds(1)), idle_for(std::chrono::seconds(2))));
    }
  }
  SECTION("of two unfinished requests") {
    SECTION("the one with less progress goes first, although its client is never silent") {
      CHECK(is_evicted_before(unfinished_at(1), unfinished_at(100'000)));
      CHECK_FALSE(is_evicted_before(unfinished_at(100'000), unfinished_at(1)));
    }
  }
  SECTION("an idle connection goes before an unfinished request") {
    CHECK(is_evicted_before(idle_for(std::chrono::milliseconds(300)), unfinished_at(0)));
  }
  SECTION("a request that is being answered goes last") {
    CHECK(is_evicted_before(unfinished_at(1e9), connection_standing{}));
    CHECK_FALSE(is_evicted_before(connection_standing{}, unfinished_at(0)));
  }
}

TEST_CASE("the descriptors of a process are divided") {
  constexpr std::size_t ample_budget = 1'000'000'000;
  SECTION("on a machine of the platform callers get more than 2,000 connections") {
    const server_connection_limits limits = divide_descriptors(4'100, ample_budget);
    CHECK(limits.callers >= 2'000);
    SECTION("and leave a quarter and the files alone, also while others are refused") {
      CHECK(limits.callers + refused_connection_limit(limits.callers) <= 4'100 - 1'025 - 200);
    }
  }
  SECTION("with few descriptors a quarter of them is left as well") {
    for (const std::size_t descriptors : {64, 100, 300, 1'024}) {
      CAPTURE(descriptors);
      const server_connection_limits limits = divide_descriptors(descriptors, ample_budget);
      CHECK(limits.callers + refused_connection_limit(limits.callers) <= descriptors * 3 / 4);
    }
  }
  SECTION("the unread bytes of all connections fit into their budget") {
    for (const std::size_t megabytes : {16, 22, 27, 40}) {
      CAPTURE(megabytes);
      const std::size_t budget = megabytes * 1'000'000;
      const server_connection_limits limits = divide_descriptors(4'100, budget);
      CHECK((limits.callers + refused_connection_limit(limits.callers)) * unread_limit_bytes <=
            budget);
    }
  }
}

}  // namespace crocusdoor

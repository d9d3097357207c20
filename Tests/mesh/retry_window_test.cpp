#include "mesh/retry_window.h"

#include <catch2/catch.hpp>
#include <vector>

namespace crocusdoor {

TEST_CASE("the repeats of all daemons stay within the limit in every window", "[mesh][P6]") {
  constexpr std::size_t daemons = 13;
  const retry_limit limit{0.2, 62, std::chrono::seconds(10)};
  std::vector<retry_window> shares(daemons);
  std::vector<std::pair<time_point, int>> requests;
  std::vector<std::pair<time_point, int>> repeats;

  // For 40 s, every request fails immediately and tries to take two repeats.
  constexpr duration step = std::chrono::milliseconds(20);
  for (time_point now{std::chrono::seconds(100)}; now < time_point(std::chrono::seconds(140));
       now += step) {
    int taken = 0;
    for (retry_window& share : shares) {
      share.request_started(now, limit.window);
      for (int i = 0; i < 2; ++i) {
        taken += share.take_repeat(limit, daemons, now) ? 1 : 0;
      }
    }
    requests.emplace_back(now, static_cast<int>(daemons));
    repeats.emplace_back(now, taken);
  }
  for (const auto& [end, repeats_at_end] : repeats) {
    double request_count = 0;
    double repeat_count = 0;
    for (std::size_t i = 0; i < repeats.size(); ++i) {
      if (repeats[i].first <= end && end - repeats[i].first < limit.window) {
        request_count += requests[i].second;
        repeat_count += repeats[i].second;
      }
    }
    REQUIRE(repeat_count <= limit.ratio * request_count + limit.slack);
  }
}

TEST_CASE("repeats leave part of the limit to the calls that repeated runs make", "[mesh]") {
  // Guards against exceeding the limit at a second service: each repeat at the first service makes
  // a call to the second one, where these calls and its own repeats together exceeded the limit
  // (silvale-mesh, scale-1, seed 393763615617: 1,563 arrivals beyond the first of 1,493 allowed).
  constexpr std::size_t daemons = 10;
  const retry_limit limit{0.2, 56, std::chrono::seconds(10)};
  retry_window front;
  retry_window back;
  int repeats = 0;
  int requests = 0;
  for (time_point now{std::chrono::seconds(100)}; now < time_point(std::chrono::seconds(110));
       now += std::chrono::milliseconds(10)) {
    ++requests;
    front.request_started(now, limit.window);
    back.request_started(now, limit.window);
    if (front.take_repeat(limit, daemons, now)) {
      ++repeats;
    }
    if (back.take_repeat(limit, daemons, now)) {
      ++repeats;
    }
  }
  CHECK(repeats <= limit.ratio * requests + limit.slack / daemons);
}

TEST_CASE("a daemon without requests has its share of the slack", "[mesh]") {
  const retry_limit limit{0.2, 50, std::chrono::seconds(10)};
  const time_point now{std::chrono::seconds(100)};
  retry_window share;
  CHECK(share.take_repeat(limit, 10, now));
  SECTION("the share is available again after the window") {
    int taken = 0;
    while (share.take_repeat(limit, 10, now)) {
      ++taken;
    }
    CHECK(taken <= 4);
    CHECK(share.take_repeat(limit, 10, now + 2 * limit.window));
  }
}

}  // namespace crocusdoor

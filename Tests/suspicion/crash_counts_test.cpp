#include "suspicion/crash_counts.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "core/random_source.h"

namespace crocusdoor {

using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::hours(1)};
const digest poison = digest_of("poison");
const digest popular = digest_of("popular");

}  // namespace

TEST_CASE("a request is refused after the second crash in a row", "[F6]") {
  crash_counts counts;
  CHECK(counts.refusal_left(poison, start) == duration::zero());
  REQUIRE(counts.crashed(poison, counts.count(poison), start).has_value());
  CHECK(counts.refusal_left(poison, start) == duration::zero());
  REQUIRE(counts.crashed(poison, counts.count(poison), start + 1s).has_value());
  CHECK(counts.refusal_left(poison, start + 1s) == 10min);
  CHECK(counts.refused(start + 1s) == 1);

  SECTION("until it has not been seen to crash a target for the age limit") {
    CHECK(counts.refusal_left(poison, start + 10min) == 1s);
    counts.expire(start + 10min);
    CHECK_FALSE(counts.empty());
    counts.expire(start + 10min + 1s);
    CHECK(counts.empty());
    CHECK(counts.refusal_left(poison, start + 11min) == duration::zero());
  }
  SECTION("or until an operator clears it") {
    REQUIRE(counts.clear(poison, start + 2s).has_value());
    CHECK(counts.refusal_left(poison, start + 2s) == duration::zero());
    CHECK_FALSE(counts.clear(poison, start + 2s).has_value());
  }
}

TEST_CASE("a popular request that is in flight when targets crash is not refused", "[F6]") {
  crash_counts counts;

  SECTION("if several targets crash at the same moment, which counts once") {
    const crash_count known = counts.count(popular);
    CHECK(counts.crashed(popular, known, start).has_value());
    CHECK_FALSE(counts.crashed(popular, known, start).has_value());
    CHECK_FALSE(counts.crashed(popular, known, start + 1s).has_value());
    CHECK(counts.refusal_left(popular, start + 1s) == duration::zero());
  }
  SECTION("if it completes on any target between two crashes") {
    counts.crashed(popular, counts.count(popular), start);
    CHECK(counts.completed(popular, start + 100ms).has_value());
    counts.crashed(popular, counts.count(popular), start + 1s);
    CHECK(counts.refusal_left(popular, start + 1s) == duration::zero());
  }
  SECTION("if a run that began before it was refused completes") {
    counts.crashed(popular, counts.count(popular), start);
    counts.crashed(popular, counts.count(popular), start + 1s);
    CHECK(counts.completed(popular, start + 2s).has_value());
    CHECK(counts.refusal_left(popular, start + 2s) == duration::zero());
    CHECK_FALSE(counts.completed(popular, start + 2s).has_value());
  }
}

TEST_CASE("a completed run counts also if the report of a crash arrives after it", "[F6]") {
  crash_counts counts;
  counts.completed(popular, start);
  counts.merge({popular, 0, 2}, start + 1s);
  REQUIRE(counts.refusal_left(popular, start + 1s) > duration::zero());

  SECTION("which resets the count") {
    CHECK(counts.reset_if_completed(popular, start + 1s).has_value());
    CHECK(counts.refusal_left(popular, start + 1s) == duration::zero());
  }
  SECTION("but not much later, when the request may have begun to crash targets") {
    CHECK_FALSE(counts.reset_if_completed(popular, start + 3s).has_value());
  }
  SECTION("and not for another request") {
    CHECK_FALSE(counts.reset_if_completed(poison, start + 1s).has_value());
  }
}

TEST_CASE("a crash that was only suspected is taken back when the target has survived", "[F6]") {
  crash_counts counts;
  const crash_count known = counts.count(popular);
  REQUIRE(counts.crashed(popular, known, start).has_value());

  SECTION("so that the request is counted as before") {
    CHECK(counts.retract(popular, known, start + 1s).has_value());
    CHECK(counts.count(popular).crashes == 0);
    CHECK_FALSE(counts.retract(popular, known, start + 1s).has_value());
  }
  SECTION("and a crash that followed still counts") {
    counts.crashed(popular, counts.count(popular), start + 1s);
    REQUIRE(counts.refusal_left(popular, start + 1s) > duration::zero());
    CHECK(counts.retract(popular, known, start + 2s).has_value());
    CHECK(counts.count(popular).crashes == 1);
    CHECK(counts.refusal_left(popular, start + 2s) == duration::zero());
  }
  SECTION("but crashes counted after the request has completed are not affected") {
    counts.completed(popular, start);
    const crash_count later = counts.count(popular);
    counts.crashed(popular, later, start + 10s);
    CHECK_FALSE(counts.retract(popular, known, start + 11s).has_value());
    CHECK(counts.count(popular).crashes == 1);
  }
  SECTION("also at a daemon that hears of both in the wrong order") {
    const crash_count suspected = counts.count(popular);
    const auto retracted = counts.retract(popular, known, start + 1s);
    crash_counts peer;
    CHECK(peer.merge(*retracted, start + 1s));
    CHECK_FALSE(peer.merge(suspected, start + 1s));
    CHECK(peer.count(popular).crashes == 0);
  }
}

namespace {

/// Callers whose requests differ in their headers only, and the daemon that counts their crashes.
class callers {
 public:
  crash_counts counts;

  static repeated_request request_of(const std::string& user, const std::string& service = "s") {
    static int sent = 0;
    repeated_request request{poison, {}};
    for (const auto& [name, value] :
         {std::pair<std::string, std::string>("user", user),
          std::pair<std::string, std::string>("service", service),
          std::pair<std::string, std::string>("trace", std::to_string(++sent))}) {
      const digest group = digest_of({poison.str(), name});
      request.features.push_back({digest_of({group.str(), value}), group});
    }
    return request;
  }

  void crash(const repeated_request& request) {
    for (const crash_count& known : counts.counts(request)) {
      counts.crashed(known.request, known, now_);
    }
    now_ += 1s;
  }
  /// One target ends while it runs both requests.
  void crash_together(const repeated_request& first, const repeated_request& second) {
    std::vector<crash_count> lost = counts.counts(first);
    for (const crash_count& known : counts.counts(second)) {
      lost.push_back(known);
    }
    for (const crash_count& known : lost) {
      counts.crashed(known.request, known, now_);
    }
    now_ += 1s;
  }
  void complete(const repeated_request& request) {
    for (const crash_count& known : counts.counts(request)) {
      counts.completed(known.request, now_);
    }
    now_ += 5s;
  }
  [[nodiscard]] bool refused(const repeated_request& request) const {
    return counts.refusal_left(request, now_) > duration::zero();
  }

 private:
  time_point now_ = start;
};

}  // namespace

TEST_CASE("a request that crashes targets is told from other callers' requests by its headers",
          "[F6]") {
  // Failure guarded against: other callers' requests with the same path reset the count of the
  // crashing request each time that they completed (review/5).
  callers test;

  SECTION("if others complete between its crashes") {
    for (int crash = 0; crash < 3; ++crash) {
      REQUIRE_FALSE(test.refused(callers::request_of("17")));
      test.crash(callers::request_of("17"));
      test.complete(callers::request_of("2"));
    }
    CHECK(test.refused(callers::request_of("17")));
    CHECK_FALSE(test.refused(callers::request_of("2")));
    CHECK_FALSE(test.refused(callers::request_of("3")));
    test.complete(callers::request_of("3"));
    CHECK(test.refused(callers::request_of("17")));
  }
  SECTION("if it begins at machines of several services in turn") {
    for (int crash = 0; crash < 3; ++crash) {
      test.crash(callers::request_of("17", "s" + std::to_string(crash % 2)));
      test.complete(callers::request_of("2", "s0"));
    }
    CHECK(test.refused(callers::request_of("17", "s0")));
    CHECK(test.refused(callers::request_of("17", "s9")));
    CHECK_FALSE(test.refused(callers::request_of("2", "s0")));
  }
  SECTION("if others are in flight when it crashes a target") {
    for (int crash = 0; crash < 3; ++crash) {
      test.crash(callers::request_of("2"));
      test.complete(callers::request_of("2"));
      test.crash(callers::request_of("17"));
    }
    CHECK(test.refused(callers::request_of("17")));
    CHECK_FALSE(test.refused(callers::request_of("2")));
  }
  SECTION("if no others complete: they are still served") {
    for (int crash = 0; crash < 3; ++crash) {
      test.crash(callers::request_of("17"));
    }
    CHECK(test.refused(callers::request_of("17")));
    CHECK_FALSE(test.refused(callers::request_of("2")));
  }
  SECTION("if others are in flight at each of its first crashes: they are still served") {
    // Failure guarded against: both were refused, and the other could not complete any more.
    for (int crash = 0; crash < 3; ++crash) {
      test.crash_together(callers::request_of("17"), callers::request_of("2"));
    }
    CHECK_FALSE(test.refused(callers::request_of("2")));
    test.complete(callers::request_of("2"));
    test.crash(callers::request_of("17"));
    CHECK(test.refused(callers::request_of("17")));
    CHECK_FALSE(test.refused(callers::request_of("2")));
  }
  SECTION("and is served again once it completes") {
    for (int crash = 0; crash < 3; ++crash) {
      test.crash(callers::request_of("17"));
    }
    test.complete(callers::request_of("17"));
    CHECK_FALSE(test.refused(callers::request_of("17")));
  }
  SECTION("by the same peers, which receive the counts in any order") {
    for (int crash = 0; crash < 3; ++crash) {
      test.crash(callers::request_of("17"));
      test.complete(callers::request_of("2"));
    }
    std::vector<crash_count> reports = test.counts.all();
    std::reverse(reports.begin(), reports.end());
    crash_counts peer;
    for (const crash_count& report : reports) {
      peer.merge(report, start);
    }
    CHECK(peer.refusal_left(callers::request_of("17"), start) > duration::zero());
    CHECK(peer.refusal_left(callers::request_of("2"), start) == duration::zero());
    CHECK(peer.refused(start) == 1);
    peer.expire(start + 20min);
    CHECK(peer.refusal_left(callers::request_of("17"), start) == duration::zero());
  }
}

TEST_CASE("daemons that receive the same crash counts in any order agree", "[F6]") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    random_source random(seed);
    std::vector<crash_count> reports;
    for (int index = 0; index < 20; ++index) {
      const std::uint64_t clearings = random.index(4);
      reports.push_back({poison, clearings, static_cast<std::int32_t>(random.index(4))});
    }
    crash_counts first;
    crash_counts second;
    for (const crash_count& report : reports) {
      first.merge(report, start);
    }
    std::reverse(reports.begin(), reports.end());
    for (const crash_count& report : reports) {
      second.merge(report, start);
      second.merge(report, start);
    }
    CHECK(first.all() == second.all());
  }
}

TEST_CASE("the number of crash counts is limited, and the oldest are removed first", "[F12]") {
  crash_counts counts({.requests = 2});
  counts.merge({digest_of("first"), 0, 2}, start);
  counts.merge({digest_of("second"), 0, 2}, start + 1s);
  counts.merge({digest_of("third"), 0, 2}, start + 2s);
  CHECK(counts.all().size() == 2);
  CHECK(counts.count(digest_of("first")).crashes == 0);
  CHECK_FALSE(counts.merge({digest(), 0, 5}, start));
}

}  // namespace crocusdoor

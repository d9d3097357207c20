#include <catch2/catch.hpp>

#include "rollout/fleet_evidence.h"

namespace crocusdoor {
namespace {

outcome_totals totals(std::uint64_t requests, std::uint64_t failures, double mean_ms,
                      std::uint64_t slow = 0) {
  const auto timed = static_cast<double>(requests - failures);
  return {requests, failures, slow, static_cast<std::uint64_t>(timed * mean_ms * 1'000)};
}

}  // namespace

TEST_CASE("a version is judged against the old one on the same routes") {
  version_outcome_map outcomes;
  outcomes["list"] = {totals(10'000, 20, 40), totals(300, 1, 40)};
  outcomes["read"] = {totals(5'000, 10, 80), totals(150, 0, 80)};
  CHECK(compare_versions(outcomes).quality == version_quality::good);

  SECTION("failures of one route are found") {
    outcomes["read"].new_version = totals(150, 30, 80);
    CHECK(compare_versions(outcomes).quality == version_quality::bad);
    CHECK(compare_versions(outcomes).work_class == "read");
  }
  SECTION("failures that the old version has as well do not count") {
    outcomes["read"] = {totals(5'000, 1'500, 80), totals(150, 50, 80)};
    CHECK(compare_versions(outcomes).quality == version_quality::good);
  }
  SECTION("a slow target is not a bad version") {
    outcomes["list"].new_version = totals(300, 1, 68, 25);
    CHECK(compare_versions(outcomes).quality == version_quality::good);
  }
  SECTION("several times the usual time is bad") {
    outcomes["list"].new_version = totals(300, 1, 130);
    CHECK(compare_versions(outcomes).quality == version_quality::bad);
  }
  SECTION("some responses of several times the usual time are bad") {
    outcomes["list"].new_version = totals(300, 1, 80, 90);
    CHECK(compare_versions(outcomes).quality == version_quality::bad);
  }
  SECTION("a route without enough requests leaves it open") {
    outcomes["read"].new_version = totals(5, 0, 80);
    CHECK(compare_versions(outcomes).quality == version_quality::unknown);
  }
}

TEST_CASE("the reports of a daemon before its restart still count") {
  fleet_evidence evidence;
  const time_point now{std::chrono::seconds(1)};
  wire::rollout_evidence report;
  report.sent = 30;
  report.outcomes = {{"list", true, 25, 2, 1'000'000, 0}};
  evidence.received(instance_name("a"), report, now);
  report.sent = 3;
  report.outcomes = {{"list", true, 3, 1, 100'000, 0}};
  evidence.received(instance_name("a"), report, now);
  CHECK(evidence.exposure() == 33);
  CHECK(evidence.requests() == 28);
  CHECK(evidence.bad_responses() == 3);
}

}  // namespace crocusdoor

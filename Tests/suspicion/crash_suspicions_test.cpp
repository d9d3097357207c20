#include "suspicion/crash_suspicions.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "core/random_source.h"

namespace crocusdoor {

using namespace std::chrono_literals;

namespace {

const wall_time start{std::chrono::hours(400'000)};
const digest poison = digest_of("poison");
const digest innocent = digest_of("innocent");
const instance_name a("a");
const instance_name b("b");

}  // namespace

TEST_CASE("from the first crash to the refusal", "[F6]") {
  crash_suspicions known;
  CHECK(known.decision(poison, start) == crash_decision::allow);
  REQUIRE(known.crashed({poison, innocent}, a, 1, start).size() == 2);
  CHECK(known.decision(poison, start) == crash_decision::isolate);

  SECTION("many reports of one crash count once") {
    CHECK_FALSE(known.merge({poison, a, 1, start.time_since_epoch().count(), false}, start));
    CHECK(known.crashed({poison}, a, 1, start).empty());
    CHECK(known.decision(poison, start) == crash_decision::isolate);
  }
  SECTION("an innocent request is cleared by one run in isolation") {
    const wall_time begun = known.begin_isolation(innocent, start + 1s);
    const auto reports = known.completed_in_isolation(innocent, begun);
    REQUIRE(reports.size() == 1);
    CHECK(known.decision(innocent, start + 1s) == crash_decision::allow);
    CHECK(known.decision(poison, start + 1s) == crash_decision::isolate);
    CHECK(known.completed_in_isolation(innocent, begun).empty());

    SECTION("and late reports of the cleared crash do not bring it back") {
      CHECK_FALSE(known.merge({innocent, a, 1, start.time_since_epoch().count(), false}, start));
    }
  }
  SECTION("a crash elsewhere during the isolated run still counts") {
    const wall_time begun = known.begin_isolation(poison, start + 1s);
    known.crashed({poison}, b, 1, start + 2s);
    known.completed_in_isolation(poison, begun);
    CHECK(known.decision(poison, start + 3s) == crash_decision::isolate);
  }
  SECTION("a second crash refuses it, until it ages out or an operator clears it") {
    known.crashed({poison}, b, 1, start + 20s);
    CHECK(known.decision(poison, start + 20s) == crash_decision::refuse);
    CHECK(known.list(start + 20s)[0].crashes.size() + known.list(start + 20s)[1].crashes.size() ==
          3);
    CHECK(known.decision(poison, start + 10min) == crash_decision::refuse);
    CHECK(known.decision(poison, start + 10min + 1s) == crash_decision::isolate);
    known.expire(start + 10min + 21s);
    CHECK(known.size() == 0);
  }
  SECTION("an operator clears it, even if its clock is behind the crash") {
    known.crashed({poison}, b, 1, start + 20s);
    const auto reports = known.clear(poison, "ana", start);
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].instance.str() == "ana");
    CHECK(known.decision(poison, start + 20s) == crash_decision::allow);
    CHECK(known.clear(poison, "ana", start).empty());
  }
}

TEST_CASE("reports that cannot be right are refused, and their number is bounded", "[F12]") {
  crash_suspicions known({.requests = 50});
  const auto at = [](wall_time time) { return time.time_since_epoch().count(); };
  CHECK_FALSE(known.merge({digest(), a, 1, at(start), false}, start));
  CHECK_FALSE(known.merge({poison, a, 1, at(start + 31s), true}, start));
  CHECK_FALSE(known.merge({poison, a, 1, at(start - 10min - 1ms), false}, start));
  CHECK(known.refused_reports() == 3);
  for (std::uint64_t i = 0; i < 200; ++i) {
    const auto age = std::chrono::milliseconds(i);
    known.merge({digest_of(std::to_string(i)), a, i, at(start + age), false}, start);
    known.merge({poison, a, i, at(start + age), false}, start);
  }
  CHECK(known.size() == 50);
  CHECK(known.decision(digest_of("199"), start) == crash_decision::isolate);
  CHECK(known.all().size() <= 50 + 8);
}

TEST_CASE("daemons agree on suspicions whatever the order, with repeats", "[F3][F6]") {
  const auto seed = GENERATE(range(0, 20));
  random_source random(static_cast<std::uint64_t>(seed));
  std::vector<crash_report> sent;
  for (std::size_t i = 0; i < 60; ++i) {
    sent.push_back({random.index(2) == 0 ? poison : innocent, random.index(2) == 0 ? a : b,
                    random.index(10),
                    start.time_since_epoch().count() + static_cast<std::int64_t>(random.index(50)),
                    random.index(12) == 0});
  }
  std::vector<crash_report> agreed;
  for (std::size_t i = 0; i < 20; ++i) {
    crash_suspicions known;
    for (std::size_t k = 0; k < sent.size(); ++k) {
      std::swap(sent[k], sent[k + random.index(sent.size() - k)]);
      known.merge(sent[k], start);
      known.merge(sent[random.index(k + 1)], start);
    }
    agreed = i == 0 ? known.all() : agreed;
    REQUIRE(known.all() == agreed);
  }
}

namespace {

/// Daemons in front of callers and targets; a caller resends a request that crashes its target.
struct crash_experiment {
  std::size_t entries = 1;           ///< Daemons through which the caller sends, in turn.
  std::size_t at_once = 1;           ///< Copies sent before the first crash.
  bool gossip_is_faster = true;      ///< Whether reports reach everybody before a resend.
  bool reports_travel_along = true;  ///< With the failed call and with its resend.

  /// Number of targets that go down in 100 resends.
  [[nodiscard]] std::size_t run() const {
    std::vector<crash_suspicions> entry(entries);
    std::vector<crash_suspicions> target(200);
    std::size_t crashes = 0;
    const auto spread = [&](const std::vector<crash_report>& reports, std::size_t through) {
      const auto merge_all = [&](crash_suspicions& known) {
        for (const crash_report& report : reports) {
          known.merge(report, start);
        }
      };
      if (reports_travel_along) {
        merge_all(entry[through]);
      }
      if (gossip_is_faster) {
        std::for_each(entry.begin(), entry.end(), merge_all);
        std::for_each(target.begin(), target.end(), merge_all);
      }
    };
    std::vector<std::pair<std::size_t, std::vector<crash_report>>> first;
    for (std::size_t i = 0; i < 100 + at_once; ++i) {
      const std::size_t through = i % entries;
      crash_suspicions& chosen = target[i];
      if (reports_travel_along && i >= at_once) {
        for (const crash_report& report : entry[through].all()) {
          chosen.merge(report, start);
        }
      }
      if (chosen.decision(poison, start) == crash_decision::refuse ||
          entry[through].decision(poison, start) == crash_decision::refuse) {
        continue;
      }
      ++crashes;
      const auto reports =
          chosen.crashed({poison}, instance_name("target-" + std::to_string(i)), 1, start);
      first.emplace_back(through, reports);
      if (i + 1 >= at_once) {  // The copies sent at once crash before any report arrives.
        for (const auto& [via, earlier] : first) {
          spread(earlier, via);
        }
        first.clear();
      }
    }
    return crashes;
  }
};

}  // namespace

TEST_CASE("how many targets one request takes down", "[F6]") {
  SECTION("two, once reports travel faster than resends") {
    CHECK(crash_experiment{}.run() == 2);
    CHECK(crash_experiment{.entries = 10}.run() == 2);
  }
  SECTION("as many as run it at the first crash, if those are more") {
    CHECK(crash_experiment{.at_once = 5}.run() == 5);
  }
  SECTION("resent before gossip arrives: two for each daemon through which the caller sends") {
    CHECK(crash_experiment{.entries = 1, .gossip_is_faster = false}.run() == 2);
    CHECK(crash_experiment{.entries = 10, .gossip_is_faster = false}.run() == 20);
  }
  SECTION("every resend, if the reports did not travel along with the call") {
    CHECK(crash_experiment{.entries = 10, .gossip_is_faster = false, .reports_travel_along = false}
              .run() == 101);
  }
}

}  // namespace crocusdoor

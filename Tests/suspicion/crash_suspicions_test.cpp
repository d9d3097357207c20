#include "suspicion/crash_suspicions.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "core/random_source.h"
#include "daemon/request_identity.h"

namespace crocusdoor {

using namespace std::chrono_literals;

namespace {

const wall_time start{std::chrono::hours(400'000)};
const digest poison = digest_of("poison");
const digest innocent = digest_of("innocent");
const instance_name a("a");
const instance_name b("b");

}  // namespace

TEST_CASE("a request is isolated after one crash and refused after two", "[F6]") {
  crash_suspicions suspicions;
  CHECK(suspicions.decision(poison, start) == crash_decision::allow);
  REQUIRE(suspicions.crashed({poison, innocent}, a, 1, start).size() == 2);
  CHECK(suspicions.decision(poison, start) == crash_decision::isolate);

  SECTION("repeated reports of one crash count once") {
    CHECK_FALSE(suspicions.merge({poison, a, 1, start.time_since_epoch().count(), false}, start));
    CHECK(suspicions.crashed({poison}, a, 1, start).empty());
    CHECK(suspicions.decision(poison, start) == crash_decision::isolate);
  }
  SECTION("an innocent request is cleared by one run in isolation") {
    const wall_time began_at = suspicions.begin_isolation(innocent, start + 1s);
    const auto reports = suspicions.completed_in_isolation(innocent, began_at);
    REQUIRE(reports.size() == 1);
    CHECK(suspicions.decision(innocent, start + 1s) == crash_decision::allow);
    CHECK(suspicions.decision(poison, start + 1s) == crash_decision::isolate);
    CHECK(suspicions.completed_in_isolation(innocent, began_at).empty());

    SECTION("late reports of the cleared crash are ignored") {
      CHECK_FALSE(
          suspicions.merge({innocent, a, 1, start.time_since_epoch().count(), false}, start));
    }
  }
  SECTION("a crash on another target during the isolated run still counts") {
    const wall_time began_at = suspicions.begin_isolation(poison, start + 1s);
    suspicions.crashed({poison}, b, 1, start + 2s);
    suspicions.completed_in_isolation(poison, began_at);
    CHECK(suspicions.decision(poison, start + 3s) == crash_decision::isolate);
  }
  SECTION("a second crash refuses it, until it ages out or an operator clears it") {
    suspicions.crashed({poison}, b, 1, start + 20s);
    CHECK(suspicions.decision(poison, start + 20s) == crash_decision::refuse);
    CHECK(suspicions.list(start + 20s)[0].crashes.size() +
              suspicions.list(start + 20s)[1].crashes.size() ==
          3);
    CHECK(suspicions.decision(poison, start + 10min) == crash_decision::refuse);
    CHECK(suspicions.decision(poison, start + 10min + 1s) == crash_decision::isolate);
    suspicions.expire(start + 10min + 21s);
    CHECK(suspicions.size() == 0);
  }
  SECTION("an operator clears it, even if its clock is behind the crash") {
    suspicions.crashed({poison}, b, 1, start + 20s);
    const auto reports = suspicions.clear(poison, "ana", start);
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].instance.str() == "ana");
    CHECK(suspicions.decision(poison, start + 20s) == crash_decision::allow);
    CHECK(suspicions.clear(poison, "ana", start).empty());
  }
}

TEST_CASE("implausible reports are refused, and the number of reports is limited", "[F12]") {
  crash_suspicions suspicions({.requests = 50});
  const auto at = [](wall_time time) { return time.time_since_epoch().count(); };
  CHECK_FALSE(suspicions.merge({digest(), a, 1, at(start), false}, start));
  CHECK_FALSE(suspicions.merge({poison, a, 1, at(start + 31s), true}, start));
  CHECK_FALSE(suspicions.merge({poison, a, 1, at(start - 10min - 1ms), false}, start));
  CHECK(suspicions.refused_reports() == 3);
  for (std::uint64_t i = 0; i < 200; ++i) {
    const auto age = std::chrono::milliseconds(i);
    suspicions.merge({digest_of(std::to_string(i)), a, i, at(start + age), false}, start);
    suspicions.merge({poison, a, i, at(start + age), false}, start);
  }
  CHECK(suspicions.size() == 50);
  CHECK(suspicions.decision(digest_of("199"), start) == crash_decision::isolate);
  CHECK(suspicions.all().size() <= 50 + 8);
}

TEST_CASE("daemons agree on suspicions for any order and repetition of the reports", "[F3][F6]") {
  const auto seed = GENERATE(range(0, 20));
  random_source random(static_cast<std::uint64_t>(seed));
  std::vector<crash_report> sent;
  for (std::size_t i = 0; i < 60; ++i) {
    sent.push_back({random.index(2) == 0 ? poison : innocent, random.index(2) == 0 ? a : b,
                    random.index(10),
                    start.time_since_epoch().count() + static_cast<std::int64_t>(random.index(50)),
                    random.index(12) == 0});
  }
  std::vector<crash_report> first_result;
  for (std::size_t i = 0; i < 20; ++i) {
    crash_suspicions suspicions;
    for (std::size_t k = 0; k < sent.size(); ++k) {
      std::swap(sent[k], sent[k + random.index(sent.size() - k)]);
      suspicions.merge(sent[k], start);
      suspicions.merge(sent[random.index(k + 1)], start);
    }
    first_result = i == 0 ? suspicions.all() : first_result;
    REQUIRE(suspicions.all() == first_result);
  }
}

namespace {

/// Daemons in front of callers and targets; a caller resends a request that crashes its target.
struct crash_experiment {
  std::size_t entries = 1;       ///< Daemons through which the caller sends, one after the other.
  std::size_t at_once = 1;       ///< Copies sent before the first crash.
  bool gossip_is_faster = true;  ///< Whether reports reach all daemons before a resend.
  /// Whether the reports are sent with the failed call and with its resend.
  bool reports_sent_with_call = true;

  /// Number of targets that crash in 100 resends.
  [[nodiscard]] std::size_t run() const {
    std::vector<crash_suspicions> entry(entries);
    std::vector<crash_suspicions> target(200);
    std::size_t crashes = 0;
    const auto spread = [&](const std::vector<crash_report>& reports, std::size_t entry_index) {
      const auto merge_all = [&](crash_suspicions& suspicions) {
        for (const crash_report& report : reports) {
          suspicions.merge(report, start);
        }
      };
      if (reports_sent_with_call) {
        merge_all(entry[entry_index]);
      }
      if (gossip_is_faster) {
        std::for_each(entry.begin(), entry.end(), merge_all);
        std::for_each(target.begin(), target.end(), merge_all);
      }
    };
    std::vector<std::pair<std::size_t, std::vector<crash_report>>> crashed_together;
    for (std::size_t i = 0; i < 100 + at_once; ++i) {
      const std::size_t entry_index = i % entries;
      crash_suspicions& chosen = target[i];
      if (reports_sent_with_call && i >= at_once) {
        for (const crash_report& report : entry[entry_index].all()) {
          chosen.merge(report, start);
        }
      }
      if (chosen.decision(poison, start) == crash_decision::refuse ||
          entry[entry_index].decision(poison, start) == crash_decision::refuse) {
        continue;
      }
      ++crashes;
      const auto reports =
          chosen.crashed({poison}, instance_name("target-" + std::to_string(i)), 1, start);
      crashed_together.emplace_back(entry_index, reports);
      if (i + 1 >= at_once) {  // The copies sent at once crash before any report arrives.
        for (const auto& [earlier_entry_index, earlier_reports] : crashed_together) {
          spread(earlier_reports, earlier_entry_index);
        }
        crashed_together.clear();
      }
    }
    return crashes;
  }
};

}  // namespace

TEST_CASE("the number of targets that one request crashes", "[F6]") {
  SECTION("two, once reports travel faster than resends") {
    CHECK(crash_experiment{}.run() == 2);
    CHECK(crash_experiment{.entries = 10}.run() == 2);
  }
  SECTION("the targets that run it at the first crash, if these are more than two") {
    CHECK(crash_experiment{.at_once = 5}.run() == 5);
  }
  SECTION(
      "if it is resent before gossip arrives, two for each daemon through which the caller sends") {
    CHECK(crash_experiment{.entries = 1, .gossip_is_faster = false}.run() == 2);
    CHECK(crash_experiment{.entries = 10, .gossip_is_faster = false}.run() == 20);
  }
  SECTION("every resend, if the reports are not sent with the call") {
    CHECK(
        crash_experiment{.entries = 10, .gossip_is_faster = false, .reports_sent_with_call = false}
            .run() == 101);
  }
}

TEST_CASE("a crashing request is refused although other callers' requests complete alone", "[F6]") {
  // Failure guarded against: crocusdoord takes requests of all callers with the same path and body
  // for the same one, so the others clear it (the cause of review/5, open in crocusdoord).
  wire::call crashing;
  crashing.service = service_name("s");
  crashing.method = "GET";
  crashing.path = "/own";
  wire::call other = crashing;
  crashing.headers = {{"X-User", "17"}};
  other.headers = {{"X-User", "2"}};
  crash_suspicions suspicions;
  wall_time now = start;
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    suspicions.crashed({request_digest(crashing)}, a, crash, now);
    now += 1s;
    const wall_time began_at = suspicions.begin_isolation(request_digest(other), now);
    suspicions.completed_in_isolation(request_digest(other), began_at);
    now += 1s;
  }
  CHECK(suspicions.decision(request_digest(crashing), now) == crash_decision::refuse);
}

}  // namespace crocusdoor

#include "configuration/version_floor.h"

#include <catch2/catch.hpp>

#include "configuration_fixtures.h"

namespace crocusdoor {

TEST_CASE("a restart during a platform outage does not revert to the version of a lagging peer",
          "[P1][F2]") {
  // Guards against serving an older version after a restart. The current version of the instance
  // was 7 before the restart, as one peer has seen; the peers that respond first are at 4 and 5.
  configuration_holder holder;
  version_floor_estimator estimator;
  estimator.set_known_peers(6, 3);
  const auto update_floor = [&] {
    if (const std::optional<version_number> floor = estimator.floor()) {
      holder.raise_floor(*floor);
    }
  };

  estimator.peer_reported(instance_name("lagging"), failure_domain("north"), 4, 0);
  update_floor();
  CHECK(offer_whole(holder, advances_snapshot(4)) == adoption::adopted);
  CHECK_FALSE(holder.ready());

  estimator.peer_reported(instance_name("lagging-too"), failure_domain("north"), 5, 0);
  estimator.peer_reported(instance_name("lagging"), failure_domain("north"), 4, 0);
  estimator.peer_reported(instance_name("third"), failure_domain("north"), 5, 0);
  update_floor();
  CHECK_FALSE(holder.floor().has_value());  // Three peers, but in one failure domain.

  estimator.peer_reported(instance_name("remembers"), failure_domain("south"), 6, 7);
  update_floor();
  CHECK(holder.floor() == version_number{7});
  CHECK_FALSE(holder.ready());

  SECTION("versions below the floor are refused, the version of the floor is adopted") {
    CHECK(offer_whole(holder, advances_snapshot(6)) == adoption::below_floor);
    CHECK_FALSE(holder.ready());
    CHECK(offer_whole(holder, advances_snapshot(7)) == adoption::adopted);
    CHECK(holder.ready());
  }

  SECTION("a lower floor that is set later is ignored") {
    holder.raise_floor(3);
    CHECK(holder.floor() == version_number{7});
  }
}

TEST_CASE("the floor needs reports of enough peers in enough failure domains", "[P1][F2]") {
  struct reported_version {
    std::string peer;
    std::string domain;
    version_number version;
  };
  struct floor_case {
    std::string description;
    std::size_t peers;
    std::size_t domains;
    std::vector<reported_version> reports;
    std::optional<version_number> platform;
    std::optional<version_number> expected;
  };
  const floor_case cases[] = {
      {"no known peer", 0, 0, {}, {}, {}},
      {"a report without known peers", 0, 0, {{"a", "x", 3}}, {}, {}},
      {"two of three needed peers", 5, 2, {{"a", "x", 3}, {"b", "y", 4}}, {}, {}},
      {"the same peer three times", 5, 1, {{"a", "x", 3}, {"a", "x", 4}, {"a", "x", 5}}, {}, {}},
      {"one domain where two exist", 5, 2, {{"a", "x", 3}, {"b", "x", 4}, {"c", "x", 5}}, {}, {}},
      {"one domain where one exists", 5, 1, {{"a", "x", 3}, {"b", "x", 5}, {"c", "x", 4}}, {}, 5},
      {"all of two known peers", 2, 2, {{"a", "x", 3}, {"b", "y", 4}}, {}, 4},
      {"the only known peer", 1, 1, {{"a", "x", 3}}, {}, 3},
      {"the platform alone", 5, 2, {}, 9, 9},
      {"the platform and a peer that reports a higher version",
       5,
       2,
       {{"a", "x", 1'000'000}},
       9,
       9},
  };
  for (const floor_case& test : cases) {
    INFO(test.description);
    version_floor_estimator estimator;
    estimator.set_known_peers(test.peers, test.domains);
    for (const reported_version& report : test.reports) {
      estimator.peer_reported(instance_name(report.peer), failure_domain(report.domain),
                              report.version, 0);
    }
    if (test.platform.has_value()) {
      estimator.platform_responded(*test.platform);
    }
    CHECK(estimator.floor() == test.expected);
  }
}

}  // namespace crocusdoor

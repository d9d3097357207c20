#include "configuration/version_floor.h"

#include <catch2/catch.hpp>

#include "configuration_fixtures.h"

namespace crocusdoor {

TEST_CASE("a restart during a platform outage does not revert to a lagging peer", "[P1][F2]") {
  // Before the restart the instance held version 7; the fleet knows it, one peer lags at 4.
  configuration_holder holder;
  version_floor_estimator estimator;
  estimator.set_known_peers(6, 3);
  const auto learn = [&] {
    if (const std::optional<version_number> floor = estimator.floor()) {
      holder.raise_floor(*floor);
    }
  };

  estimator.peer_reported(instance_name("lagging"), failure_domain("north"), 4, 0);
  learn();
  CHECK(offer_whole(holder, advances_snapshot(4)) == adoption::adopted);
  CHECK_FALSE(holder.ready());

  estimator.peer_reported(instance_name("lagging-too"), failure_domain("north"), 5, 0);
  estimator.peer_reported(instance_name("lagging"), failure_domain("north"), 4, 0);
  estimator.peer_reported(instance_name("third"), failure_domain("north"), 5, 0);
  learn();
  CHECK_FALSE(holder.floor().has_value());  // Three peers, but in one failure domain.

  estimator.peer_reported(instance_name("remembers"), failure_domain("south"), 6, 7);
  learn();
  CHECK(holder.floor() == version_number{7});
  CHECK_FALSE(holder.ready());

  SECTION("versions below the floor are refused, the last one seen is adopted") {
    CHECK(offer_whole(holder, advances_snapshot(6)) == adoption::below_floor);
    CHECK_FALSE(holder.ready());
    CHECK(offer_whole(holder, advances_snapshot(7)) == adoption::adopted);
    CHECK(holder.ready());
  }

  SECTION("a lower floor that is learned later changes nothing") {
    holder.raise_floor(3);
    CHECK(holder.floor() == version_number{7});
  }
}

TEST_CASE("the floor needs enough independent witnesses", "[P1][F2]") {
  struct witness {
    std::string peer;
    std::string domain;
    version_number held;
  };
  struct floor_case {
    std::string description;
    std::size_t peers;
    std::size_t domains;
    std::vector<witness> witnesses;
    std::optional<version_number> platform;
    std::optional<version_number> expected;
  };
  const floor_case cases[] = {
      {"nobody known", 0, 0, {}, {}, {}},
      {"an unexpected peer without known ones", 0, 0, {{"a", "x", 3}}, {}, {}},
      {"two of three needed peers", 5, 2, {{"a", "x", 3}, {"b", "y", 4}}, {}, {}},
      {"the same peer three times", 5, 1, {{"a", "x", 3}, {"a", "x", 4}, {"a", "x", 5}}, {}, {}},
      {"one domain where two exist", 5, 2, {{"a", "x", 3}, {"b", "x", 4}, {"c", "x", 5}}, {}, {}},
      {"one domain where one exists", 5, 1, {{"a", "x", 3}, {"b", "x", 5}, {"c", "x", 4}}, {}, 5},
      {"all of two known peers", 2, 2, {{"a", "x", 3}, {"b", "y", 4}}, {}, 4},
      {"the only known peer", 1, 1, {{"a", "x", 3}}, {}, 3},
      {"the platform alone", 5, 2, {}, 9, 9},
      {"the platform against a peer that claims more", 5, 2, {{"a", "x", 1'000'000}}, 9, 9},
  };
  for (const floor_case& one : cases) {
    INFO(one.description);
    version_floor_estimator estimator;
    estimator.set_known_peers(one.peers, one.domains);
    for (const witness& each : one.witnesses) {
      estimator.peer_reported(instance_name(each.peer), failure_domain(each.domain), each.held, 0);
    }
    if (one.platform.has_value()) {
      estimator.platform_responded(*one.platform);
    }
    CHECK(estimator.floor() == one.expected);
  }
}

}  // namespace crocusdoor

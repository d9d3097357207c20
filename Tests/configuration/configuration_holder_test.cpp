#include "configuration/configuration_holder.h"

#include <catch2/catch.hpp>

#include "configuration/snapshot_diff.h"
#include "configuration_fixtures.h"

namespace crocusdoor {

namespace {

configuration_delta delta_of(const snapshot& before, const snapshot& after) {
  return delta_between(before, after, digest_of(after));
}

}  // namespace

TEST_CASE("reordered, repeated and delayed updates never lower the current version",
          "[P1][P9][F3]") {
  configuration_holder holder;
  REQUIRE(holder.current() != nullptr);
  CHECK(holder.current()->version == 0);
  const snapshot fifth = advances_snapshot(5);
  const snapshot sixth = advances_snapshot(6);
  const snapshot seventh = advances_snapshot(7);
  REQUIRE(offer_whole(holder, sixth) == adoption::adopted);

  SECTION("an older snapshot is stale, also when it is repeated") {
    CHECK(offer_whole(holder, fifth) == adoption::stale);
    CHECK(offer_whole(holder, fifth) == adoption::stale);
    CHECK(holder.current()->version == 6);
  }

  SECTION("the current version changes nothing when it is offered again") {
    const snapshot_pointer before = holder.current();
    CHECK(offer_whole(holder, sixth) == adoption::already_held);
    CHECK(holder.offer(delta_of(fifth, sixth)).outcome == adoption::already_held);
    CHECK(holder.current() == before);
  }

  SECTION("a delta from a later base is refused and applies once that base is current") {
    const snapshot eighth = advances_snapshot(8);
    CHECK(holder.offer(delta_of(seventh, eighth)).outcome == adoption::base_unknown);
    CHECK(holder.current()->version == 6);
    CHECK(holder.offer(delta_of(sixth, seventh)).outcome == adoption::adopted);
    CHECK(holder.offer(delta_of(seventh, eighth)).outcome == adoption::adopted);
    CHECK(*holder.current() == eighth);
  }

  SECTION("a delta from an earlier base applies if the result has the right digest") {
    CHECK(holder.offer(delta_of(fifth, seventh)).outcome == adoption::adopted);
    CHECK(*holder.current() == seventh);

    SECTION("and is refused with base_unknown if it does not") {
      const snapshot without_routes = make_snapshot(4, {}, {});
      const snapshot lacking = make_snapshot(8, {make_service("other")}, {});
      CHECK(holder.offer(delta_of(without_routes, lacking)).outcome == adoption::base_unknown);
      CHECK(*holder.current() == seventh);
    }
  }

  SECTION("a request keeps its snapshot while a newer one is adopted") {
    const snapshot_pointer started_with = holder.current();
    REQUIRE(offer_whole(holder, make_snapshot(7, {make_service("other")}, {})) ==
            adoption::adopted);
    const route* found = find_route(*started_with, "/advances/17");
    REQUIRE(found != nullptr);
    CHECK(started_with->services.contains(found->service));
    CHECK(find_route(*holder.current(), "/advances/17") == nullptr);
  }
}

TEST_CASE("an invalid version does not change the current one", "[P2][P3][F12]") {
  configuration_holder holder;
  const snapshot current = advances_snapshot(3);
  REQUIRE(offer_whole(holder, current) == adoption::adopted);
  const snapshot_pointer before = holder.current();

  struct offered_case {
    std::string description;
    snapshot content;
    digest claimed;
    adoption expected;
  };
  std::vector<offered_case> cases;
  const auto add = [&](const std::string& description, snapshot content, adoption expected) {
    const digest right = digest_of(content);
    cases.push_back({description, std::move(content), right, expected});
  };
  add("dangling route", make_snapshot(4, {}, {make_route("a", "/a", "missing")}),
      adoption::invalid);
  add("dangling action", make_snapshot(4, {}, {}, {make_action("a", "/a", "missing")}),
      adoption::invalid);
  add("service without slots", make_snapshot(4, {make_service("a", 0)}, {}), adoption::invalid);
  add("service without a name", make_snapshot(4, {make_service("")}, {}), adoption::invalid);
  service unreadable = make_service("a");
  unreadable.decision.reason = "\xC3(";
  add("text that is not UTF-8", make_snapshot(4, {unreadable}, {}), adoption::invalid);
  snapshot too_large = make_snapshot(4, {}, {});
  for (int i = 0; i < 900; ++i) {
    service added = make_service("service-" + std::to_string(i));
    added.decision.reason = std::string(1000, 'x');
    too_large.services.emplace(added.name, added);
  }
  add("larger than the limit", too_large, adoption::invalid);
  cases.push_back({"peer with a wrong digest", advances_snapshot(4), digest_of("something else"),
                   adoption::digest_mismatch});
  add("same version with another content", make_snapshot(3, {make_service("a")}, {}),
      adoption::digest_mismatch);

  for (const offered_case& test : cases) {
    INFO(test.description);
    CHECK(holder.offer(test.content, test.claimed).outcome == test.expected);
    const configuration_delta delta = delta_between(current, test.content, test.claimed);
    CHECK(holder.offer(delta).outcome == test.expected);
    CHECK(holder.current() == before);
    CHECK(holder.current_digest() == digest_of(current));
  }
  CHECK(holder.version_conflicts() == 2);
  CHECK(holder.count_of(adoption::digest_mismatch) == 4);

  SECTION("a delta that names a resource twice is invalid") {
    configuration_delta twice = delta_of(current, advances_snapshot(4));
    twice.removed_services.emplace_back("advances");
    CHECK(holder.offer(twice).outcome == adoption::invalid);
    CHECK(holder.current() == before);
  }

  SECTION("the right content of the version is adopted afterwards") {
    CHECK(offer_whole(holder, advances_snapshot(4)) == adoption::adopted);
  }
}

TEST_CASE("delta_since returns the changes since a version in the history", "[P9]") {
  configuration_holder holder;
  std::vector<snapshot> versions{snapshot{}};
  random_source random(11);
  while (versions.size() < 2 * configuration_holder::history_version_limit) {
    handle_failure(
        [&]() -> leaf::result<void> {
          const snapshot& last = versions.back();
          BOOST_LEAF_AUTO(next, apply_intents(last, random_intents(last, random)));
          versions.push_back(std::move(next));
          return {};
        },
        [](const failure&) {});
    REQUIRE(offer_whole(holder, versions.back()) != adoption::invalid);
  }
  const version_number newest = versions.back().version;
  for (version_number from = newest - configuration_holder::history_version_limit; from < newest;
       ++from) {
    configuration_holder behind;
    REQUIRE(offer_whole(behind, versions[from]) == adoption::adopted);
    const std::optional<configuration_delta> delta = holder.delta_since(from);
    REQUIRE(delta.has_value());
    CHECK(behind.offer(*delta).outcome == adoption::adopted);
    CHECK(*behind.current() == versions.back());
  }
  CHECK_FALSE(holder.delta_since(newest - configuration_holder::history_version_limit - 1));
  CHECK_FALSE(holder.delta_since(newest));
  CHECK_FALSE(holder.delta_since(newest + 1));

  SECTION("an old version that is offered with another digest is a conflict") {
    CHECK(offer_whole(holder, advances_snapshot(newest - 1)) == adoption::digest_mismatch);
    CHECK(holder.version_conflicts() == 1);
  }

  SECTION("there is no delta for a change with more resources than the history may contain") {
    snapshot large = versions.back();
    large.version = newest + 1;
    for (std::size_t i = 0; i <= configuration_holder::history_resource_limit; ++i) {
      const std::string name = "large-" + std::to_string(i);
      large.services.emplace(service_name(name), make_service(name));
    }
    REQUIRE(offer_whole(holder, large) == adoption::adopted);
    CHECK_FALSE(holder.delta_since(newest).has_value());
  }
}

TEST_CASE("a failure domain that was partitioned adopts the newest version as a whole",
          "[P1][P2][P9][F2]") {
  configuration_holder connected;
  configuration_holder partitioned;
  std::vector<snapshot> versions;
  for (version_number version = 1; version <= 40; ++version) {
    const std::string name = "service-" + std::to_string(version);
    versions.push_back(
        make_snapshot(version, {make_service(name)}, {make_route("current", "/current", name)}));
  }
  for (const snapshot& content : versions) {
    REQUIRE(offer_whole(connected, content) == adoption::adopted);
    if (content.version <= 2) {
      REQUIRE(offer_whole(partitioned, content) == adoption::adopted);
    }
  }
  partitioned.raise_floor(2);
  CHECK(partitioned.ready());  // It keeps serving its current version.

  SECTION("from one delta with all changes") {
    CHECK(
        partitioned.offer(connected.delta_since(partitioned.current()->version).value()).outcome ==
        adoption::adopted);
  }
  SECTION("from a snapshot, with delayed messages before and after it") {
    CHECK(partitioned.offer(delta_of(versions[29], versions[30])).outcome ==
          adoption::base_unknown);
    CHECK(offer_whole(partitioned, versions.back()) == adoption::adopted);
    CHECK(offer_whole(partitioned, versions[20]) == adoption::stale);
    CHECK(partitioned.offer(delta_of(versions[1], versions[2])).outcome == adoption::stale);
  }
  CHECK(*partitioned.current() == versions.back());
  CHECK(partitioned.current()->services.contains(
      find_route(*partitioned.current(), "/current")->service));
}

}  // namespace crocusdoor

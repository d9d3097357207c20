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

TEST_CASE("updates that cross, repeat or arrive late never take a holder back", "[P1][P9][F3]") {
  configuration_holder holder;
  REQUIRE(holder.current() != nullptr);
  CHECK(holder.current()->version == 0);
  const snapshot fifth = advances_snapshot(5);
  const snapshot sixth = advances_snapshot(6);
  const snapshot seventh = advances_snapshot(7);
  REQUIRE(offer_whole(holder, sixth) == adoption::adopted);

  SECTION("the older snapshot that was overtaken is stale, its repetition too") {
    CHECK(offer_whole(holder, fifth) == adoption::stale);
    CHECK(offer_whole(holder, fifth) == adoption::stale);
    CHECK(holder.current()->version == 6);
  }

  SECTION("the same version again is harmless, as snapshot and as delta") {
    const snapshot_pointer before = holder.current();
    CHECK(offer_whole(holder, sixth) == adoption::already_held);
    CHECK(holder.offer(delta_of(fifth, sixth)).outcome == adoption::already_held);
    CHECK(holder.current() == before);
  }

  SECTION("a delta that arrives before its base is refused and applies once the base is there") {
    const snapshot eighth = advances_snapshot(8);
    CHECK(holder.offer(delta_of(seventh, eighth)).outcome == adoption::base_unknown);
    CHECK(holder.current()->version == 6);
    CHECK(holder.offer(delta_of(sixth, seventh)).outcome == adoption::adopted);
    CHECK(holder.offer(delta_of(seventh, eighth)).outcome == adoption::adopted);
    CHECK(*holder.current() == eighth);
  }

  SECTION("a delta from an earlier base applies if it leads to the right content") {
    CHECK(holder.offer(delta_of(fifth, seventh)).outcome == adoption::adopted);
    CHECK(*holder.current() == seventh);

    SECTION("and asks for a snapshot if it does not") {
      const snapshot without_routes = make_snapshot(4, {}, {});
      const snapshot lacking = make_snapshot(8, {make_service("other")}, {});
      CHECK(holder.offer(delta_of(without_routes, lacking)).outcome == adoption::base_unknown);
      CHECK(*holder.current() == seventh);
    }
  }

  SECTION("a request keeps the snapshot it started with while a newer one is adopted") {
    const snapshot_pointer started_with = holder.current();
    REQUIRE(offer_whole(holder, make_snapshot(7, {make_service("other")}, {})) ==
            adoption::adopted);
    const route* routed = find_route(*started_with, "/advances/17");
    REQUIRE(routed != nullptr);
    CHECK(started_with->services.contains(routed->service));
    CHECK(find_route(*holder.current(), "/advances/17") == nullptr);
  }
}

TEST_CASE("an invalid version changes nothing", "[P2][P3][F12]") {
  configuration_holder holder;
  const snapshot held = advances_snapshot(3);
  REQUIRE(offer_whole(holder, held) == adoption::adopted);
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
    service one = make_service("service-" + std::to_string(i));
    one.decision.reason = std::string(1000, 'x');
    too_large.services.emplace(one.name, one);
  }
  add("larger than the limit", too_large, adoption::invalid);
  cases.push_back({"peer with a wrong digest", advances_snapshot(4), digest_of("something else"),
                   adoption::digest_mismatch});
  add("same version with another content", make_snapshot(3, {make_service("a")}, {}),
      adoption::digest_mismatch);

  for (const offered_case& one : cases) {
    INFO(one.description);
    CHECK(holder.offer(one.content, one.claimed).outcome == one.expected);
    const configuration_delta delta = delta_between(held, one.content, one.claimed);
    CHECK(holder.offer(delta).outcome == one.expected);
    CHECK(holder.current() == before);
    CHECK(holder.current_digest() == digest_of(held));
  }
  CHECK(holder.version_conflicts() == 2);
  CHECK(holder.count_of(adoption::digest_mismatch) == 4);

  SECTION("a delta that names a resource twice is invalid") {
    configuration_delta twice = delta_of(held, advances_snapshot(4));
    twice.removed_services.emplace_back("advances");
    CHECK(holder.offer(twice).outcome == adoption::invalid);
    CHECK(holder.current() == before);
  }

  SECTION("the right content from another peer is adopted afterwards") {
    CHECK(offer_whole(holder, advances_snapshot(4)) == adoption::adopted);
  }
}

TEST_CASE("a holder hands out what changed since a version in its history", "[P9]") {
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

  SECTION("an old version that returns with another digest is a conflict") {
    CHECK(offer_whole(holder, advances_snapshot(newest - 1)) == adoption::digest_mismatch);
    CHECK(holder.version_conflicts() == 1);
  }

  SECTION("one change larger than the history is handed out as a snapshot") {
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

TEST_CASE("a zone that was cut off adopts the newest version as a whole", "[P1][P2][P9][F2]") {
  configuration_holder near;
  configuration_holder cut_off;
  std::vector<snapshot> versions;
  for (version_number version = 1; version <= 40; ++version) {
    const std::string name = "service-" + std::to_string(version);
    versions.push_back(
        make_snapshot(version, {make_service(name)}, {make_route("current", "/current", name)}));
  }
  for (const snapshot& one : versions) {
    REQUIRE(offer_whole(near, one) == adoption::adopted);
    if (one.version <= 2) {
      REQUIRE(offer_whole(cut_off, one) == adoption::adopted);
    }
  }
  cut_off.raise_floor(2);
  CHECK(cut_off.ready());  // It keeps serving the last state it has.

  SECTION("the other side sends the changes, in one delta") {
    CHECK(cut_off.offer(near.delta_since(cut_off.current()->version).value()).outcome ==
          adoption::adopted);
  }
  SECTION("late messages of the lost time and the snapshot arrive in the wrong order") {
    CHECK(cut_off.offer(delta_of(versions[29], versions[30])).outcome == adoption::base_unknown);
    CHECK(offer_whole(cut_off, versions.back()) == adoption::adopted);
    CHECK(offer_whole(cut_off, versions[20]) == adoption::stale);
    CHECK(cut_off.offer(delta_of(versions[1], versions[2])).outcome == adoption::stale);
  }
  CHECK(*cut_off.current() == versions.back());
  CHECK(cut_off.current()->services.contains(find_route(*cut_off.current(), "/current")->service));
}

}  // namespace crocusdoor

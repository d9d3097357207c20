#include "configuration/snapshot.h"

#include <catch2/catch.hpp>

#include "configuration_fixtures.h"

namespace crocusdoor {

TEST_CASE("two prefixes that cover the same paths are refused as ambiguous", "[P3]") {
  const service target = make_service("s");
  CHECK(validate(
            make_snapshot(1, {target}, {make_route("a", "/a", "s"), make_route("b", "/a/b", "s")}))
            .empty());
  CHECK(validate(
            make_snapshot(1, {target}, {make_route("a", "/a", "s"), make_route("b", "/a/", "s")}))
            .size() == 1);
  run_once_action put = make_action("put", "/a", "s");
  put.method = "PUT";
  CHECK(validate(make_snapshot(1, {target}, {}, {make_action("a", "/a", "s"), put})).empty());
  CHECK(validate(make_snapshot(1, {target}, {},
                               {make_action("a", "/a", "s"), make_action("b", "/a", "s")}))
            .size() == 1);
}

TEST_CASE("the index finds the same as a search of all routes and actions", "[P11]") {
  // Short paths over a small alphabet, so that many prefixes cover many of the paths.
  random_source random(20'261'204);
  const auto random_path = [&](const std::string& alphabet, std::size_t length_limit) {
    std::string path = "/";
    for (std::size_t length = random.index(length_limit); length > 0; --length) {
      path += alphabet[random.index(alphabet.size())];
    }
    return path;
  };
  std::size_t found = 0;
  for (int round = 0; round < 300; ++round) {
    snapshot content = make_snapshot(1, {make_service("s"), make_service("t")}, {});
    for (int i = 0; i < 12; ++i) {
      const std::string name = std::to_string(i);
      snapshot candidate = content;
      const std::string target = random.index(2) == 0 ? "s" : "t";
      candidate.routes.emplace(route_name(name), make_route(name, random_path("ab//", 6), target));
      candidate.actions.emplace(action_name(name),
                                make_action(name, random_path("ab//", 6), target));
      content = validate(candidate).empty() ? candidate : content;
    }
    const snapshot_pointer indexed = share_snapshot(content);
    REQUIRE(indexed->index.built());
    for (int i = 0; i < 60; ++i) {
      const std::string path = i == 0 ? "" : random_path("aab///?c", 10);
      const route* expected = find_route(content, path);
      const route* actual = find_route(*indexed, path);
      REQUIRE((expected == nullptr) == (actual == nullptr));
      CHECK((expected == nullptr || *expected == *actual));
      const run_once_action* expected_action =
          find_action(content, service_name("s"), "POST", path);
      const run_once_action* actual_action = find_action(*indexed, service_name("s"), "POST", path);
      REQUIRE((expected_action == nullptr) == (actual_action == nullptr));
      CHECK((expected_action == nullptr || *expected_action == *actual_action));
      found += (actual != nullptr ? 1 : 0) + (actual_action != nullptr ? 1 : 0);
    }
  }
  CHECK(found > 10'000);

  SECTION("a changed copy of an indexed snapshot does not use the old index") {
    snapshot copy = *share_snapshot(advances_snapshot(3));
    copy.routes.clear();
    CHECK(find_route(copy, "/advances") == nullptr);
  }
}

}  // namespace crocusdoor

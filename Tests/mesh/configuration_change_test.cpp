#include "mesh/configuration_change.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

namespace {

mesh_route route_to(const std::string& prefix, const std::string& service) {
  mesh_route route;
  route.name = route_name("r" + prefix);
  route.host = "h.example";
  route.path_prefix = prefix;
  route.services = {{service_name(service), 1}};
  route.timeout_ms = std::chrono::milliseconds(1'000);
  return route;
}

mesh_configuration make_configuration(std::uint64_t version, std::vector<mesh_route> routes) {
  mesh_configuration content;
  content.version = version;
  content.routes = std::move(routes);
  content.services = {{service_name("s"), "/health", 10}, {service_name("t"), "/health", 10}};
  return content;
}

std::optional<mesh_configuration> applied(const mesh_configuration& before,
                                          const configuration_change& change) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<mesh_configuration>> {
        BOOST_LEAF_AUTO(after, apply_change(before, change));
        return std::optional(std::move(after));
      },
      [] { return std::optional<mesh_configuration>(); });
}

}  // namespace

TEST_CASE("a configuration change contains exactly the routes that differ", "[mesh][P3]") {
  const mesh_configuration before =
      make_configuration(3, {route_to("/a/", "s"), route_to("/b/", "s"), route_to("/c/", "s")});
  mesh_configuration after =
      make_configuration(7, {route_to("/d/", "t"), route_to("/b/", "t"), route_to("/a/", "s")});
  after.limits.idle_timeout_ms = std::chrono::milliseconds(9);
  const configuration_change change = change_between(before, after);
  CHECK(change.changed == std::vector<mesh_route>{route_to("/d/", "t"), route_to("/b/", "t")});
  CHECK(change.removed == std::vector<route_key>{{"h.example", "/c/"}});

  SECTION("applying it to its base gives the later version, in any order of routes") {
    const auto result = applied(before, change);
    REQUIRE(result.has_value());
    CHECK(result->version == 7);
    CHECK(result->limits == after.limits);
    CHECK(result->routes.size() == 3);
    CHECK(fingerprint_of(*result) == fingerprint_of(after));
    CHECK(change_between(*result, after).changed.empty());
  }
  SECTION("applying it to another base version fails") {
    mesh_configuration other = before;
    other.version = 4;
    CHECK_FALSE(applied(other, change).has_value());
  }
  SECTION("applying it fails if the result differs from the sender's") {
    mesh_configuration other = before;
    other.routes.push_back(route_to("/e/", "s"));
    CHECK_FALSE(applied(other, change).has_value());
    mesh_configuration damaged = before;
    damaged.routes[0].rank = 5;
    CHECK_FALSE(applied(damaged, change).has_value());
  }
}

TEST_CASE("workspaces are part of a configuration change only if they differ", "[mesh][P3]") {
  mesh_configuration before = make_configuration(3, {route_to("/a/", "s")});
  before.workspaces = {{workspace_name("w"), {"key"}, 1, 10, 20}};
  mesh_configuration after = before;
  after.version = 4;

  SECTION("unchanged workspaces are taken from the base version") {
    const configuration_change change = change_between(before, after);
    CHECK_FALSE(change.workspaces.has_value());
    const auto result = applied(before, change);
    REQUIRE(result.has_value());
    CHECK(result->workspaces == before.workspaces);
  }
  SECTION("a removed key changes the workspaces and the fingerprint") {
    after.workspaces[0].api_keys.clear();
    const configuration_change change = change_between(before, after);
    CHECK(change.workspaces == after.workspaces);
    CHECK(fingerprint_of(before) != fingerprint_of(after));
    const auto result = applied(before, change);
    REQUIRE(result.has_value());
    CHECK(result->workspaces == after.workspaces);
  }
}

}  // namespace crocusdoor

#include "mesh/route_table.h"

#include <catch2/catch.hpp>

#include "mesh/weighted_rotation.h"

namespace crocusdoor {

namespace {

mesh_route make_route(const std::string& name, const std::string& host, const std::string& prefix) {
  mesh_route route;
  route.name = route_name(name);
  route.host = host;
  route.path_prefix = prefix;
  route.services = {{service_name("s-" + name), 1}};
  return route;
}

std::string found(const route_table& table, const std::string& host, const std::string& target) {
  const mesh_route* route = table.find(host, target);
  return route == nullptr ? "none" : route->name.str();
}

}  // namespace

TEST_CASE("a request goes to the route of its host with the longest prefix", "[mesh]") {
  mesh_configuration content;
  content.version = 7;
  content.routes = {make_route("root", "a.example", "/"), make_route("x", "a.example", "/x/"),
                    make_route("xy", "a.example", "/x/y/"),
                    make_route("other", "b.example", "/x/")};
  const route_table table(content);

  SECTION("the longest prefix wins, and only whole path segments count") {
    CHECK(found(table, "a.example", "/x/y/z") == "xy");
    CHECK(found(table, "a.example", "/x/y") == "x");
    CHECK(found(table, "a.example", "/x/yy") == "x");
    CHECK(found(table, "a.example", "/xx") == "root");
  }
  SECTION("the host decides first, without its port and its case") {
    CHECK(found(table, "B.Example:80", "/x/y/z") == "other");
    CHECK(found(table, "b.example", "/y") == "none");
    CHECK(found(table, "c.example", "/x/") == "none");
  }
  SECTION("slashes in the query do not lengthen the path") {
    CHECK(found(table, "a.example", "/x?next=/x/y/") == "root");
    CHECK(found(table, "a.example", "/x/?next=/x/y/") == "x");
  }
}

TEST_CASE("the services of a route get their shares also over short times", "[mesh]") {
  random_source random(3);
  mesh_route route = make_route("split", "a.example", "/");
  route.services = {{service_name("first"), 90}, {service_name("second"), 10}};
  weighted_rotation rotation;
  int second = 0;
  for (int i = 0; i < 100; ++i) {
    second += rotation.next(route, random) == service_name("second") ? 1 : 0;
  }
  CHECK(second >= 9);
  CHECK(second <= 11);

  SECTION("a service that leaves the route gets nothing more") {
    route.services = {{service_name("first"), 1}, {service_name("third"), 1}};
    for (int i = 0; i < 10; ++i) {
      CHECK(rotation.next(route, random) != service_name("second"));
    }
  }
  SECTION("many daemons together keep the shares, each with few requests") {
    int total = 0;
    for (int daemon = 0; daemon < 200; ++daemon) {
      weighted_rotation own;
      for (int i = 0; i < 3; ++i) {
        total += own.next(route, random) == service_name("second") ? 1 : 0;
      }
    }
    CHECK(total >= 30);
    CHECK(total <= 90);
  }
}

}  // namespace crocusdoor

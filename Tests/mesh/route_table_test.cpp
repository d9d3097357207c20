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

std::string route_name_for(const route_table& table, const std::string& host,
                           const std::string& target) {
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

  SECTION("the longest prefix is chosen, and only complete path segments match") {
    CHECK(route_name_for(table, "a.example", "/x/y/z") == "xy");
    CHECK(route_name_for(table, "a.example", "/x/y") == "x");
    CHECK(route_name_for(table, "a.example", "/x/yy") == "x");
    CHECK(route_name_for(table, "a.example", "/xx") == "root");
  }
  SECTION("the host is compared first, ignoring its port and case") {
    CHECK(route_name_for(table, "B.Example:80", "/x/y/z") == "other");
    CHECK(route_name_for(table, "b.example", "/y") == "none");
    CHECK(route_name_for(table, "c.example", "/x/") == "none");
  }
  SECTION("slashes in the query do not lengthen the path") {
    CHECK(route_name_for(table, "a.example", "/x?next=/x/y/") == "root");
    CHECK(route_name_for(table, "a.example", "/x/?next=/x/y/") == "x");
  }
}

TEST_CASE("the services of a route get their shares within few requests", "[mesh]") {
  random_source random(3);
  mesh_route route = make_route("split", "a.example", "/");
  route.services = {{service_name("first"), 90}, {service_name("second"), 10}};
  weighted_rotation rotation;
  int second_count = 0;
  for (int i = 0; i < 100; ++i) {
    second_count += rotation.next(route, random) == service_name("second") ? 1 : 0;
  }
  CHECK(second_count >= 9);
  CHECK(second_count <= 11);

  SECTION("a service that is removed from the route gets no more requests") {
    route.services = {{service_name("first"), 1}, {service_name("third"), 1}};
    for (int i = 0; i < 10; ++i) {
      CHECK(rotation.next(route, random) != service_name("second"));
    }
  }
  SECTION("the shares hold over many daemons with few requests each") {
    int second_total = 0;
    for (int daemon = 0; daemon < 200; ++daemon) {
      weighted_rotation daemon_rotation;
      for (int i = 0; i < 3; ++i) {
        second_total += daemon_rotation.next(route, random) == service_name("second") ? 1 : 0;
      }
    }
    CHECK(second_total >= 30);
    CHECK(second_total <= 90);
  }
}

}  // namespace crocusdoor

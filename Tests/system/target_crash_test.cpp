#include <catch2/catch.hpp>

#include "mesh_under_test.h"

namespace crocusdoor::test {

TEST_CASE("a request that crashes targets, sent again and again, takes down two", "[F6]") {
  mesh_under_test mesh({"statements", "statements", "statements", "statements", "statements"});
  REQUIRE(mesh.wait_in_force(mesh.apply_intents(basic_intents({"statements"}))));
  REQUIRE(mesh.wait_ready());
  const http_request poison{"POST", "/statements/print", {}, "crash-me"};
  for (std::size_t attempt = 0; attempt < 12; ++attempt) {
    mesh.send(mesh.instance(attempt % 5).caller_port, poison);
  }
  int crashed = 0;
  for (test_instance& one : mesh.instances()) {
    crashed += one.target->has_ended() ? 1 : 0;
  }
  CHECK(crashed >= 1);
  CHECK(crashed <= 2);

  SECTION("other requests are served by the targets that are left") {
    CHECK(mesh.wait_until([&] {
      return mesh.send(mesh.instance(0).caller_port, {"GET", "/statements/1", {}, {}})
                 .response.status == 200;
    }));
  }
}

}  // namespace crocusdoor::test

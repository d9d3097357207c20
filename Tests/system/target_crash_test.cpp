#include <catch2/catch.hpp>

#include "mesh_under_test.h"

namespace crocusdoor::test {

TEST_CASE("a request that crashes targets and is sent 12 times crashes at most two", "[F6]") {
  mesh_under_test mesh({"statements", "statements", "statements", "statements", "statements"});
  REQUIRE(mesh.wait_until_in_force(mesh.apply_intents(basic_intents({"statements"}))));
  REQUIRE(mesh.wait_until_ready());
  const http_request crashing_request{"POST", "/statements/print", {}, "crash-me"};
  for (std::size_t attempt = 0; attempt < 12; ++attempt) {
    mesh.send(mesh.instance(attempt % 5).caller_port, crashing_request);
  }
  int crashed = 0;
  for (test_instance& instance : mesh.instances()) {
    crashed += instance.target->has_ended() ? 1 : 0;
  }
  CHECK(crashed >= 1);
  CHECK(crashed <= 2);

  SECTION("the remaining targets serve other requests") {
    CHECK(mesh.wait_until([&] {
      return mesh.send(mesh.instance(0).caller_port, {"GET", "/statements/1", {}, {}})
                 .response.status == 200;
    }));
  }
}

}  // namespace crocusdoor::test

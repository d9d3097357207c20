#include "mesh/workspace_keys.h"

#include <catch2/catch.hpp>

#include "mesh/key_check.h"

namespace crocusdoor {

TEST_CASE("an API key is read from an Authorization header", "[mesh]") {
  CHECK(bearer_key("Bearer abc") == "abc");
  CHECK(bearer_key("bEARER   abc ") == "abc");
  for (const char* other : {"", "Bearer", "Bearer ", "Basic abc", "Bearerabc", "abc"}) {
    INFO(other);
    CHECK_FALSE(bearer_key(other).has_value());
  }
}

TEST_CASE("a key is admitted, denied or left open by its workspace, route and proof", "[mesh]") {
  mesh_configuration content;
  content.version = 1;
  content.workspaces = {{workspace_name("first"), {"key-1", "shared", ""}, 0, 0, 0},
                        {workspace_name("second"), {"key-2", "shared"}, 1, 0, 0}};
  const route_table table(content, 7);
  mesh_route route;
  const auto check = [&](const std::string& header, const configuration_proof& proof) {
    return check_key(table, route, header, proof);
  };
  const configuration_proof recent{true, true};
  const configuration_proof late{true, false};
  const configuration_proof none{false, false};

  SECTION("a known key names its workspace, a key held twice the first one") {
    CHECK(check("Bearer key-2", late).workspace->name == workspace_name("second"));
    CHECK(check("Bearer shared", recent).workspace->name == workspace_name("first"));
    CHECK(check("Bearer key-2", none).decision == key_decision::unproven);
  }
  SECTION("other keys are denied only with a recent proof") {
    for (const char* header : {"", "Bearer ", "Bearer key", "Bearer key-22", "Basic key-1"}) {
      INFO(header);
      CHECK(check(header, recent).decision == key_decision::denied);
      CHECK(check(header, late).decision == key_decision::unsettled);
    }
  }
  SECTION("an open route admits every request, and without a proof no key names a workspace") {
    route.open_to_all = true;
    CHECK(check("Bearer key-1", recent).workspace != nullptr);
    for (const char* header : {"", "Bearer key", "Bearer key-1"}) {
      CHECK(check(header, none).decision == key_decision::admitted);
      CHECK(check(header, none).workspace == nullptr);
    }
  }
  SECTION("without workspaces no key is needed") {
    const route_table without(mesh_configuration{});
    CHECK(check_key(without, route, "", none).decision == key_decision::admitted);
  }
}

TEST_CASE("the digest of a key in log lines does not contain the key", "[mesh]") {
  CHECK(key_digest("key-1").size() == 8);
  CHECK(key_digest("key-1") != key_digest("key-2"));
}

}  // namespace crocusdoor

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

#include "mesh_under_test.h"

namespace crocusdoor::test {

namespace {

json route_intents(const std::string& reason, const std::string& prefix) {
  return {{"operator", "clerk"},
          {"reason", reason},
          {"intents",
           {{{"put_route",
              {{"name", "extra"},
               {"path_prefix", prefix},
               {"service", "statements"},
               {"decision",
                {{"decided_by", "clerk"}, {"decided_on", "2026-12-04"}, {"reason", reason}}}}}}}}};
}

http_result confirm(mesh_under_test& mesh, std::size_t index, const http_result& planned) {
  return mesh.send(mesh.instance(index).api_port,
                   {"POST", "/v1/confirmations", {}, planned.response.body});
}

}  // namespace

TEST_CASE("a plan takes effect on every instance, and only after its confirmation", "[P9][P10]") {
  mesh_under_test mesh({"statements", "statements", "statements", "advances"});
  const std::uint64_t first_version = mesh.apply_intents(basic_intents({"statements", "advances"}));
  REQUIRE(mesh.wait_until_in_force(first_version));

  SECTION("a plan without confirmation has no effect") {
    const http_result planned = mesh.make_plan(route_intents("try", "/extra"), 1);
    REQUIRE(planned.response.status == 200);
    const http_result result = mesh.send(mesh.instance(1).caller_port, {"GET", "/extra", {}, {}});
    CHECK(result.response.status == 404);
    CHECK(mesh.version_of(mesh.instance(1)) == first_version);
  }

  SECTION(
      "of two concurrent confirmations one succeeds and the other gets a conflict with the "
      "changes") {
    const http_result first_plan = mesh.make_plan(route_intents("mine", "/mine"), 0);
    const http_result second_plan = mesh.make_plan(route_intents("yours", "/yours"), 1);
    const auto first_confirmation = mesh.start(
        mesh.instance(2).api_port, {"POST", "/v1/confirmations", {}, first_plan.response.body});
    const auto second_confirmation = mesh.start(
        mesh.instance(3).api_port, {"POST", "/v1/confirmations", {}, second_plan.response.body});
    mesh.wait_for({first_confirmation, second_confirmation});
    std::vector<int> statuses = {first_confirmation->result.response.status,
                                 second_confirmation->result.response.status};
    std::sort(statuses.begin(), statuses.end());
    CHECK(statuses == std::vector<int>{200, 409});
    const http_response& conflict_response = first_confirmation->result.response.status == 409
                                                 ? first_confirmation->result.response
                                                 : second_confirmation->result.response;
    CHECK(json::parse(conflict_response.body)["changed_since"].size() == 1);
    CHECK(mesh.wait_until_in_force(first_version + 1));
  }

  SECTION("a confirmation is applied once if the response of the platform is lost") {
    const http_result planned = mesh.make_plan(route_intents("lost", "/lost"), 0);
    mesh.control_platform({{"lose_answers", 1}});
    const http_result confirmed = confirm(mesh, 0, planned);
    CHECK(confirmed.response.status == 200);
    CHECK(mesh.wait_until_in_force(first_version + 1));

    SECTION("a confirmation repeated at another instance reports that it was already confirmed") {
      const http_result repeated = confirm(mesh, 2, planned);
      CHECK(repeated.response.status == 200);
      CHECK(json::parse(repeated.response.body)["already_confirmed"] == true);
    }
  }
}

TEST_CASE("a daemon restarted during a platform outage serves the latest version, not an older one",
          "[P1][F2]") {
  mesh_under_test mesh({"statements", "statements", "statements", "statements"});
  mesh.apply_intents(basic_intents({"statements"}));
  const std::uint64_t latest_version = mesh.apply_intents(route_intents("second", "/second"));
  REQUIRE(mesh.wait_until_in_force(latest_version));
  mesh.stop_platform();
  test_instance& restarted = mesh.instance(2);
  restarted.daemon->kill();
  mesh.start_daemon(restarted);

  // Until the daemon is ready, `version_of` returns 0. The first version with which it is ready
  // must be the latest one.
  std::vector<std::uint64_t> served_versions;
  CHECK(mesh.wait_until([&] {
    const std::uint64_t version = mesh.version_of(restarted);
    if (version > 0) {
      served_versions.push_back(version);
    }
    return version > 0;
  }));
  CHECK(served_versions == std::vector<std::uint64_t>{latest_version});
}

TEST_CASE("the instances of a paused failure domain adopt the newest version after they resume",
          "[P9][F11]") {
  mesh_under_test mesh({"statements", "statements", "statements", "statements", "statements"});
  const std::uint64_t first_version = mesh.apply_intents(basic_intents({"statements"}));
  REQUIRE(mesh.wait_until_in_force(first_version));
  std::vector<test_instance*> paused_instances;
  for (test_instance& instance : mesh.instances()) {
    if (instance.domain == "domain-2") {
      paused_instances.push_back(&instance);
      instance.daemon->send_signal(SIGSTOP);
    }
  }
  const std::uint64_t second_version = mesh.apply_intents(route_intents("later", "/later"));
  mesh.run_for(std::chrono::seconds(4));
  for (test_instance* instance : paused_instances) {
    instance->daemon->send_signal(SIGCONT);
  }
  CHECK(mesh.wait_until_in_force(second_version));
}

}  // namespace crocusdoor::test

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

TEST_CASE("a confirmed plan is in force on every instance, and only then", "[P9][P10]") {
  mesh_under_test mesh({"statements", "statements", "statements", "advances"});
  const std::uint64_t first = mesh.apply_intents(basic_intents({"statements", "advances"}));
  REQUIRE(mesh.wait_in_force(first));

  SECTION("a plan alone changes nothing") {
    const http_result planned = mesh.make_plan(route_intents("try", "/extra"), 1);
    REQUIRE(planned.response.status == 200);
    const http_result answer = mesh.send(mesh.instance(1).caller_port, {"GET", "/extra", {}, {}});
    CHECK(answer.response.status == 404);
    CHECK(mesh.version_of(mesh.instance(1)) == first);
  }

  SECTION("of two operators who race, one wins and the other is told what changed") {
    const http_result mine = mesh.make_plan(route_intents("mine", "/mine"), 0);
    const http_result yours = mesh.make_plan(route_intents("yours", "/yours"), 1);
    const auto one = mesh.start(mesh.instance(2).api_port,
                                {"POST", "/v1/confirmations", {}, mine.response.body});
    const auto two = mesh.start(mesh.instance(3).api_port,
                                {"POST", "/v1/confirmations", {}, yours.response.body});
    mesh.wait_for({one, two});
    std::vector<int> statuses = {one->result.response.status, two->result.response.status};
    std::sort(statuses.begin(), statuses.end());
    CHECK(statuses == std::vector<int>{200, 409});
    const http_response& lost =
        one->result.response.status == 409 ? one->result.response : two->result.response;
    CHECK(json::parse(lost.body)["changed_since"].size() == 1);
    CHECK(mesh.wait_in_force(first + 1));
  }

  SECTION("a confirmation whose platform answer is lost still counts once") {
    const http_result planned = mesh.make_plan(route_intents("lost", "/lost"), 0);
    mesh.control_platform({{"lose_answers", 1}});
    const http_result confirmed = confirm(mesh, 0, planned);
    CHECK(confirmed.response.status == 200);
    CHECK(mesh.wait_in_force(first + 1));

    SECTION("and may be repeated at another instance") {
      const http_result again = confirm(mesh, 2, planned);
      CHECK(again.response.status == 200);
      CHECK(json::parse(again.response.body)["already_confirmed"] == true);
    }
  }
}

TEST_CASE("a daemon restarted during a platform outage does not go back", "[P1][F2]") {
  mesh_under_test mesh({"statements", "statements", "statements", "statements"});
  mesh.apply_intents(basic_intents({"statements"}));
  const std::uint64_t latest = mesh.apply_intents(route_intents("second", "/second"));
  REQUIRE(mesh.wait_in_force(latest));
  mesh.stop_platform();
  test_instance& restarted = mesh.instance(2);
  restarted.daemon->kill();
  mesh.start_daemon(restarted);

  // While it does not serve, it answers "not run"; once it serves, it serves the latest version.
  std::vector<std::uint64_t> served;
  CHECK(mesh.wait_until([&] {
    const std::uint64_t version = mesh.version_of(restarted);
    if (version > 0) {
      served.push_back(version);
    }
    return version > 0;
  }));
  CHECK(served == std::vector<std::uint64_t>{latest});
}

TEST_CASE("a failure domain that was paused takes the newest version", "[P9][F11]") {
  mesh_under_test mesh({"statements", "statements", "statements", "statements", "statements"});
  const std::uint64_t first = mesh.apply_intents(basic_intents({"statements"}));
  REQUIRE(mesh.wait_in_force(first));
  std::vector<test_instance*> domain;
  for (test_instance& one : mesh.instances()) {
    if (one.domain == "domain-2") {
      domain.push_back(&one);
      one.daemon->send_signal(SIGSTOP);
    }
  }
  const std::uint64_t second = mesh.apply_intents(route_intents("later", "/later"));
  mesh.run_for(std::chrono::seconds(4));
  for (test_instance* one : domain) {
    one->daemon->send_signal(SIGCONT);
  }
  CHECK(mesh.wait_in_force(second));
}

}  // namespace crocusdoor::test

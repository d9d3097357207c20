#include <catch2/catch.hpp>
#include <csignal>

#include "mesh_under_test.h"

namespace crocusdoor::test {

namespace {

http_request advance_request(const std::string& key) {
  return {"POST",
          "/advances/once",
          {{"Idempotency-Key", key}, {"Content-Type", "application/json"}},
          R"({"crew": "deckhand", "amount": 120})"};
}

std::string verdict_of(const http_result& result) {
  const auto found = result.response.headers.find("X-Crocusdoor-Verdict");
  return found == result.response.headers.end() ? std::string() : found->second;
}

}  // namespace

TEST_CASE("an advance sent through every instance concurrently is executed once", "[P6]") {
  mesh_under_test mesh({"advances", "advances", "advances", "statements", "statements"}, 5);
  REQUIRE(mesh.wait_until_in_force(mesh.apply_intents(basic_intents({"advances", "statements"}))));
  REQUIRE(mesh.wait_until_ready());

  SECTION("all callers get the same response") {
    std::vector<std::shared_ptr<outstanding_request>> requests;
    for (int round = 0; round < 10; ++round) {
      for (test_instance& instance : mesh.instances()) {
        requests.push_back(
            mesh.start(instance.caller_port, advance_request("key-" + std::to_string(round))));
      }
    }
    mesh.wait_for(requests);
    for (std::size_t i = 0; i < requests.size(); ++i) {
      CAPTURE(i, requests[i]->result.response.body);
      CHECK(requests[i]->result.response.status == 200);
      CHECK(requests[i]->result.response.body == requests[i - i % 5]->result.response.body);
    }
    const std::map<std::string, int> counts = mesh.executions();
    CHECK(counts.size() == 10);
    for (const auto& [key, count] : counts) {
      CAPTURE(key);
      CHECK(count == 1);
    }
  }

  SECTION("a request without a key is refused as not run") {
    const http_result result =
        mesh.send(mesh.instance(0).caller_port, {"POST", "/advances/once", {}, "{}"});
    CHECK(result.response.status == 400);
    CHECK(verdict_of(result) == "not_run");
  }

  SECTION("the same key with another body is a conflict") {
    mesh.send(mesh.instance(0).caller_port, advance_request("reused"));
    http_request other = advance_request("reused");
    other.body = R"({"crew": "deckhand", "amount": 9000})";
    const http_result result = mesh.send(mesh.instance(1).caller_port, other);
    CHECK(result.response.status == 422);
    CHECK(verdict_of(result) == "not_run");
    CHECK(mesh.executions()["reused"] == 1);
  }
}

TEST_CASE("an advance sent again after its daemon was killed is executed at most once",
          "[P6][F1]") {
  mesh_under_test mesh({"advances", "advances", "advances", "statements", "statements"}, 30);
  json intents = basic_intents({"advances", "statements"});
  // `idempotent_writes` of a route must not apply to a run-once action under its path prefix.
  intents["intents"][1]["put_route"]["idempotent_writes"] = true;
  REQUIRE(mesh.wait_until_in_force(mesh.apply_intents(intents)));
  REQUIRE(mesh.wait_until_ready());

  std::map<std::string, std::string> not_run_responses;
  for (std::size_t victim = 0; victim < 3; ++victim) {
    std::vector<std::shared_ptr<outstanding_request>> requests;
    std::vector<std::string> keys;
    for (int i = 0; i < 12; ++i) {
      keys.push_back("kill-" + std::to_string(victim) + "-" + std::to_string(i));
      const std::size_t caller_index = 3 + static_cast<std::size_t>(i) % 2;
      requests.push_back(
          mesh.start(mesh.instance(caller_index).caller_port, advance_request(keys.back())));
    }
    mesh.run_for(std::chrono::milliseconds(25));
    mesh.instance(victim).daemon->kill();
    mesh.wait_for(requests);
    // Every request is sent again, through the other caller: after the kill its first response need
    // not tell whether it ran.
    std::vector<std::shared_ptr<outstanding_request>> repeated_requests;
    for (std::size_t i = 0; i < keys.size(); ++i) {
      repeated_requests.push_back(
          mesh.start(mesh.instance(3 + (i + 1) % 2).caller_port, advance_request(keys[i])));
    }
    mesh.wait_for(repeated_requests);
    mesh.start_daemon(mesh.instance(victim));
    REQUIRE(mesh.wait_until_ready());
  }
  for (const auto& [key, count] : mesh.executions()) {
    CAPTURE(key);
    CHECK(count <= 1);
  }
}

TEST_CASE("the shards of a killed daemon are taken over and every advance succeeds",
          "[P6][P11][F1]") {
  mesh_under_test mesh({"advances", "advances", "advances", "statements", "statements"}, 2);
  REQUIRE(mesh.wait_until_in_force(mesh.apply_intents(basic_intents({"advances", "statements"}))));
  REQUIRE(mesh.wait_until_ready());
  // These advances reach each shard, so that all shards have their owners before the kill.
  std::vector<std::shared_ptr<outstanding_request>> first_requests;
  first_requests.reserve(40);
  for (int i = 0; i < 40; ++i) {
    first_requests.push_back(
        mesh.start(mesh.instance(0).caller_port, advance_request("first-" + std::to_string(i))));
  }
  mesh.wait_for(first_requests);
  mesh.instance(4).daemon->kill();
  std::vector<std::shared_ptr<outstanding_request>> requests;
  requests.reserve(40);
  for (int i = 0; i < 40; ++i) {
    requests.push_back(
        mesh.start(mesh.instance(0).caller_port, advance_request("later-" + std::to_string(i))));
  }
  mesh.wait_for(requests);
  for (std::size_t i = 0; i < requests.size(); ++i) {
    CAPTURE(i, requests[i]->result.response.body);
    CHECK(requests[i]->result.response.status == 200);
  }
}

TEST_CASE("an advance is executed at most once when a paused shard owner resumes", "[P6][F4]") {
  mesh_under_test mesh({"advances", "advances", "statements", "statements"}, 2);
  REQUIRE(mesh.wait_until_in_force(mesh.apply_intents(basic_intents({"advances", "statements"}))));
  REQUIRE(mesh.wait_until_ready());
  std::vector<std::string> keys;
  std::vector<std::shared_ptr<outstanding_request>> requests;
  for (int i = 0; i < 30; ++i) {
    keys.push_back("pause-" + std::to_string(i));
    requests.push_back(mesh.start(mesh.instance(0).caller_port, advance_request(keys.back())));
  }
  // Each instance owns about a quarter of the shards. This one is stopped while it has open claims.
  mesh.instance(3).daemon->send_signal(SIGSTOP);
  mesh.wait_for(requests);
  std::vector<std::shared_ptr<outstanding_request>> repeated_requests;
  repeated_requests.reserve(keys.size());
  for (const std::string& key : keys) {
    repeated_requests.push_back(mesh.start(mesh.instance(1).caller_port, advance_request(key)));
  }
  mesh.run_for(std::chrono::seconds(1));
  mesh.instance(3).daemon->send_signal(SIGCONT);
  mesh.wait_for(repeated_requests);
  for (const std::string& key : keys) {
    mesh.send(mesh.instance(3).caller_port, advance_request(key));
  }
  for (const auto& [key, count] : mesh.executions()) {
    CAPTURE(key);
    CHECK(count <= 1);
  }
}

TEST_CASE("an advance sent during a platform outage and again later is executed once",
          "[P5][P6][F2]") {
  mesh_under_test mesh({"advances", "advances", "statements"});
  REQUIRE(mesh.wait_until_in_force(mesh.apply_intents(basic_intents({"advances", "statements"}))));
  REQUIRE(mesh.wait_until_ready());
  REQUIRE(mesh.send(mesh.instance(2).caller_port, advance_request("before")).response.status ==
          200);
  mesh.control_platform({{"down_ms", 4000}});

  const http_result outage_result =
      mesh.send(mesh.instance(2).caller_port, advance_request("during"));
  const http_result read =
      mesh.send(mesh.instance(2).caller_port, {"GET", "/statements/1", {}, {}});
  CHECK(read.response.status == 200);
  if (verdict_of(outage_result) == "not_run") {
    CHECK(mesh.executions()["during"] == 0);
  }
  CHECK(mesh.wait_until([&] {
    return mesh.send(mesh.instance(1).caller_port, advance_request("during")).response.status ==
           200;
  }));
  CHECK(mesh.executions()["during"] == 1);
  CHECK(mesh.executions()["before"] == 1);
}

}  // namespace crocusdoor::test

#include <catch2/catch.hpp>
#include <csignal>

#include "mesh_under_test.h"

namespace crocusdoor::test {

namespace {

http_request advance(const std::string& key) {
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

TEST_CASE("an advance sent through every instance at once is paid once", "[P6]") {
  mesh_under_test mesh({"advances", "advances", "advances", "statements", "statements"}, 5);
  REQUIRE(mesh.wait_in_force(mesh.apply_intents(basic_intents({"advances", "statements"}))));
  REQUIRE(mesh.wait_ready());

  SECTION("all callers get the same answer") {
    std::vector<std::shared_ptr<outstanding_request>> sent;
    for (int round = 0; round < 10; ++round) {
      for (test_instance& one : mesh.instances()) {
        sent.push_back(mesh.start(one.caller_port, advance("key-" + std::to_string(round))));
      }
    }
    mesh.wait_for(sent);
    for (std::size_t i = 0; i < sent.size(); ++i) {
      CAPTURE(i, sent[i]->result.response.body);
      CHECK(sent[i]->result.response.status == 200);
      CHECK(sent[i]->result.response.body == sent[i - i % 5]->result.response.body);
    }
    const std::map<std::string, int> counts = mesh.executions();
    CHECK(counts.size() == 10);
    for (const auto& [key, count] : counts) {
      CAPTURE(key);
      CHECK(count == 1);
    }
  }

  SECTION("a call without a key is refused as not run") {
    const http_result result =
        mesh.send(mesh.instance(0).caller_port, {"POST", "/advances/once", {}, "{}"});
    CHECK(result.response.status == 400);
    CHECK(verdict_of(result) == "not_run");
  }

  SECTION("the same key with another body is a conflict") {
    mesh.send(mesh.instance(0).caller_port, advance("reused"));
    http_request other = advance("reused");
    other.body = R"({"crew": "deckhand", "amount": 9000})";
    const http_result result = mesh.send(mesh.instance(1).caller_port, other);
    CHECK(result.response.status == 422);
    CHECK(verdict_of(result) == "not_run");
    CHECK(mesh.executions()["reused"] == 1);
  }
}

TEST_CASE("killed daemons and resent advances never pay twice", "[P6][F1]") {
  mesh_under_test mesh({"advances", "advances", "advances", "statements", "statements"}, 30);
  json intents = basic_intents({"advances", "statements"});
  // A route that allows repeats must not allow them for a run-once action below it.
  intents["intents"][1]["put_route"]["idempotent_writes"] = true;
  REQUIRE(mesh.wait_in_force(mesh.apply_intents(intents)));
  REQUIRE(mesh.wait_ready());

  std::map<std::string, std::string> said_not_run;
  for (std::size_t victim = 0; victim < 3; ++victim) {
    std::vector<std::shared_ptr<outstanding_request>> sent;
    std::vector<std::string> keys;
    for (int i = 0; i < 12; ++i) {
      keys.push_back("kill-" + std::to_string(victim) + "-" + std::to_string(i));
      const std::size_t through = 3 + static_cast<std::size_t>(i) % 2;
      sent.push_back(mesh.start(mesh.instance(through).caller_port, advance(keys.back())));
    }
    mesh.run_for(std::chrono::milliseconds(25));
    mesh.instance(victim).daemon->kill();
    mesh.wait_for(sent);
    // Each caller sends its request again, as its first answer tells it nothing certain.
    std::vector<std::shared_ptr<outstanding_request>> again;
    for (std::size_t i = 0; i < keys.size(); ++i) {
      again.push_back(mesh.start(mesh.instance(3 + (i + 1) % 2).caller_port, advance(keys[i])));
    }
    mesh.wait_for(again);
    mesh.start_daemon(mesh.instance(victim));
    REQUIRE(mesh.wait_ready());
  }
  for (const auto& [key, count] : mesh.executions()) {
    CAPTURE(key);
    CHECK(count <= 1);
  }
}

TEST_CASE("the shards of a daemon that died are taken over, and no advance is refused",
          "[P6][P11][F1]") {
  mesh_under_test mesh({"advances", "advances", "advances", "statements", "statements"}, 2);
  REQUIRE(mesh.wait_in_force(mesh.apply_intents(basic_intents({"advances", "statements"}))));
  REQUIRE(mesh.wait_ready());
  // A first advance for each shard, so that the shards have their owners.
  std::vector<std::shared_ptr<outstanding_request>> first;
  first.reserve(40);
  for (int i = 0; i < 40; ++i) {
    first.push_back(
        mesh.start(mesh.instance(0).caller_port, advance("first-" + std::to_string(i))));
  }
  mesh.wait_for(first);
  mesh.instance(4).daemon->kill();
  std::vector<std::shared_ptr<outstanding_request>> sent;
  sent.reserve(40);
  for (int i = 0; i < 40; ++i) {
    sent.push_back(mesh.start(mesh.instance(0).caller_port, advance("later-" + std::to_string(i))));
  }
  mesh.wait_for(sent);
  for (std::size_t i = 0; i < sent.size(); ++i) {
    CAPTURE(i, sent[i]->result.response.body);
    CHECK(sent[i]->result.response.status == 200);
  }
}

TEST_CASE("a paused shard owner that wakes up cannot let an advance run again", "[P6][F4]") {
  mesh_under_test mesh({"advances", "advances", "statements", "statements"}, 2);
  REQUIRE(mesh.wait_in_force(mesh.apply_intents(basic_intents({"advances", "statements"}))));
  REQUIRE(mesh.wait_ready());
  std::vector<std::string> keys;
  std::vector<std::shared_ptr<outstanding_request>> sent;
  for (int i = 0; i < 30; ++i) {
    keys.push_back("pause-" + std::to_string(i));
    sent.push_back(mesh.start(mesh.instance(0).caller_port, advance(keys.back())));
  }
  // Each instance owns about a quarter of the shards; this one falls silent with claims in hand.
  mesh.instance(3).daemon->send_signal(SIGSTOP);
  mesh.wait_for(sent);
  std::vector<std::shared_ptr<outstanding_request>> again;
  again.reserve(keys.size());
  for (const std::string& key : keys) {
    again.push_back(mesh.start(mesh.instance(1).caller_port, advance(key)));
  }
  mesh.run_for(std::chrono::seconds(1));
  mesh.instance(3).daemon->send_signal(SIGCONT);
  mesh.wait_for(again);
  for (const std::string& key : keys) {
    mesh.send(mesh.instance(3).caller_port, advance(key));
  }
  for (const auto& [key, count] : mesh.executions()) {
    CAPTURE(key);
    CHECK(count <= 1);
  }
}

TEST_CASE("during a platform outage an advance is refused as not run and can be sent later",
          "[P5][P6][F2]") {
  mesh_under_test mesh({"advances", "advances", "statements"});
  REQUIRE(mesh.wait_in_force(mesh.apply_intents(basic_intents({"advances", "statements"}))));
  REQUIRE(mesh.wait_ready());
  REQUIRE(mesh.send(mesh.instance(2).caller_port, advance("before")).response.status == 200);
  mesh.control_platform({{"down_ms", 4000}});

  const http_result refused = mesh.send(mesh.instance(2).caller_port, advance("during"));
  const http_result read =
      mesh.send(mesh.instance(2).caller_port, {"GET", "/statements/1", {}, {}});
  CHECK(read.response.status == 200);
  if (verdict_of(refused) == "not_run") {
    CHECK(mesh.executions()["during"] == 0);
  }
  CHECK(mesh.wait_until([&] {
    return mesh.send(mesh.instance(1).caller_port, advance("during")).response.status == 200;
  }));
  CHECK(mesh.executions()["during"] == 1);
  CHECK(mesh.executions()["before"] == 1);
}

}  // namespace crocusdoor::test

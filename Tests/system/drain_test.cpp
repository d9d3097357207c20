#include <catch2/catch.hpp>
#include <csignal>

#include "mesh_under_test.h"

namespace crocusdoor::test {

TEST_CASE("a planned stop cuts no request, and the target gets no new work", "[P7][P8]") {
  mesh_under_test mesh({"statements", "statements", "statements", "statements"}, 20);
  REQUIRE(mesh.wait_in_force(mesh.apply_intents(basic_intents({"statements"}))));
  REQUIRE(mesh.wait_ready());
  test_instance& leaving = mesh.instance(1);
  std::vector<std::shared_ptr<outstanding_request>> sent;
  for (int i = 0; i < 150; ++i) {
    const std::size_t through = static_cast<std::size_t>(i) % 4;
    // The caller of the leaving instance itself moves on once the stop has been ordered.
    const bool skip = i > 40 && through == 1;
    if (!skip) {
      sent.push_back(mesh.start(mesh.instance(through).caller_port,
                                {"GET", "/statements/" + std::to_string(i), {}, {}}));
    }
    mesh.run_for(std::chrono::milliseconds(4));
    if (i == 40) {
      leaving.daemon->send_signal(SIGTERM);
    }
  }
  mesh.wait_for(sent);
  int answered = 0;
  for (const auto& one : sent) {
    answered +=
        one->result.outcome == http_outcome::answered && one->result.response.status == 200 ? 1 : 0;
  }
  CHECK(answered == static_cast<int>(sent.size()));
  CHECK(mesh.wait_until([&] { return leaving.daemon->has_ended(); }));
}

TEST_CASE("reads survive the death of a daemon without an error", "[P11][F1]") {
  mesh_under_test mesh({"statements", "statements", "statements", "statements"}, 10);
  REQUIRE(mesh.wait_in_force(mesh.apply_intents(basic_intents({"statements"}))));
  REQUIRE(mesh.wait_ready());
  std::vector<std::shared_ptr<outstanding_request>> sent;
  for (int i = 0; i < 100; ++i) {
    const std::size_t through = static_cast<std::size_t>(i) % 2;
    sent.push_back(mesh.start(mesh.instance(through).caller_port,
                              {"GET", "/statements/" + std::to_string(i), {}, {}}));
    mesh.run_for(std::chrono::milliseconds(4));
    if (i == 40) {
      mesh.instance(3).daemon->kill();
    }
  }
  mesh.wait_for(sent);
  for (const auto& one : sent) {
    CAPTURE(one->result.response.body);
    CHECK(one->result.response.status == 200);
  }
}

TEST_CASE("reads survive the crash of a target without a stall", "[P11][F6]") {
  mesh_under_test mesh({"statements", "statements", "statements", "statements"}, 5);
  REQUIRE(mesh.wait_in_force(mesh.apply_intents(basic_intents({"statements"}))));
  REQUIRE(mesh.wait_ready());
  std::vector<std::shared_ptr<outstanding_request>> sent;
  for (int i = 0; i < 400; ++i) {
    const std::size_t through = static_cast<std::size_t>(i) % 3;
    sent.push_back(mesh.start(mesh.instance(through).caller_port,
                              {"GET", "/statements/" + std::to_string(i), {}, {}}));
    mesh.run_for(std::chrono::milliseconds(1));
    if (i == 100) {
      mesh.instance(3).target->kill();
    }
  }
  mesh.wait_for(sent);
  for (std::size_t i = 0; i < sent.size(); ++i) {
    CAPTURE(i, to_string(sent[i]->result.outcome), sent[i]->result.response.body);
    CHECK(sent[i]->result.response.status == 200);
  }
}

TEST_CASE("a daemon that falls silent with its links open holds nobody up for long", "[P4][F7]") {
  mesh_under_test mesh({"statements", "statements", "statements", "statements"}, 10);
  REQUIRE(mesh.wait_in_force(mesh.apply_intents(basic_intents({"statements"}))));
  REQUIRE(mesh.wait_ready());
  mesh.instance(3).daemon->send_signal(SIGSTOP);
  std::vector<std::shared_ptr<outstanding_request>> sent;
  sent.reserve(60);
  for (int i = 0; i < 60; ++i) {
    sent.push_back(mesh.start(mesh.instance(0).caller_port,
                              {"GET", "/statements/" + std::to_string(i), {}, {}}));
  }
  mesh.wait_for(sent);
  for (std::size_t i = 0; i < sent.size(); ++i) {
    CAPTURE(i, sent[i]->result.response.body);
    CHECK(sent[i]->result.response.status == 200);
    const json body = json::parse(sent[i]->result.response.body, nullptr, false);
    CHECK(body.value("path", "") == "/statements/" + std::to_string(i));
  }
}

}  // namespace crocusdoor::test

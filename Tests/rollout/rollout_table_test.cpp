#include <catch2/catch.hpp>

#include "rollout/rollout_table.h"

namespace crocusdoor {
namespace {

using namespace std::chrono_literals;

const service_name the_service("s");

wire::rollout_state state(std::uint64_t order, std::int32_t permille) {
  return {the_service, "v2", order, wire::rollout_phase::running, permille, 1'500ms, 10'000ms};
}

}  // namespace

TEST_CASE("a daemon sends to the new version what the valid state allows") {
  random_source random(1);
  rollout_table table;
  time_point now{100s};
  const auto canaries = [&](int requests) {
    int count = 0;
    for (int request = 0; request < requests; ++request) {
      const version_rule rule = table.rule(the_service, "list", true, now, random);
      count += rule.use == version_rule::kind::few ? 1 : 0;
    }
    return count;
  };

  SECTION("without a state all upstreams are used") {
    CHECK(table.rule(the_service, "list", true, now, random) == version_rule{});
  }
  SECTION("no more than the share of the requests") {
    table.receive(instance_name("a"), state(5, 50), now);
    const int sent = canaries(1'000);
    CHECK(sent >= 49);
    CHECK(sent <= 51);
  }
  SECTION("nothing after the validity") {
    table.receive(instance_name("a"), state(5, 50), now);
    now += 1'500ms;
    CHECK(canaries(1'000) == 0);
    CHECK(table.rule(the_service, "list", true, now, random).use == version_rule::kind::except);
  }
  SECTION("no repeated attempts") {
    table.receive(instance_name("a"), state(5, 900), now);
    CHECK(table.rule(the_service, "list", false, now, random).use == version_rule::kind::except);
  }
  SECTION("a rollout that has ended stays ended") {
    wire::rollout_state ended = state(5, 0);
    ended.phase = wire::rollout_phase::rolled_back;
    table.receive(instance_name("a"), ended, now);
    CHECK_FALSE(table.receive(instance_name("a"), state(5, 500), now));
    CHECK(canaries(1'000) == 0);
    CHECK(table.receive(instance_name("a"), state(6, 500), now));
    CHECK(canaries(1'000) > 0);
  }
  SECTION("an older order is ignored") {
    table.receive(instance_name("a"), state(5, 0), now);
    CHECK_FALSE(table.receive(instance_name("a"), state(4, 500), now));
    CHECK(canaries(1'000) == 0);
  }
  SECTION("a state handed on by a peer grants no share, and takes none away") {
    table.receive(instance_name("a"), state(5, 500), now);
    rollout_table started;
    for (const wire::rollout_state& known : table.states(now)) {
      started.receive(instance_name("b"), known, now);
    }
    CHECK(started.rule(the_service, "list", true, now, random).use == version_rule::kind::except);
    for (const wire::rollout_state& known : started.states(now)) {
      table.receive(instance_name("c"), known, now);
    }
    CHECK(canaries(1'000) > 0);
  }
  SECTION("when all requests went to the new version, they may go on if the old one is gone") {
    table.receive(instance_name("a"), state(5, 1'000), now);
    now += 2s;
    const version_rule rule = table.rule(the_service, "list", true, now, random);
    CHECK(rule.use == version_rule::kind::except);
    CHECK(rule.otherwise_any);
  }
}

TEST_CASE("requests that began before the order count as running at the old version") {
  rollout_table table;
  time_point now{100s};
  table.attempt_started(the_service, "v1");
  table.receive(instance_name("a"), state(5, 1'000), now);
  CHECK(table.evidence(the_service, now).running_old == 1);
  table.attempt_ended(the_service, "v1");
  CHECK(table.evidence(the_service, now).running_old == 0);
  table.attempt_started(the_service, "v2");
  CHECK(table.evidence(the_service, now).running_new == 1);
  CHECK(table.evidence(the_service, now).sent == 1);
}

}  // namespace crocusdoor

#include "run_once/claim_service.h"

#include <catch2/catch.hpp>
#include <set>

#include "action_load.h"
#include "run_once/object_per_action.h"
#include "shard_story.h"

namespace crocusdoor::testing {

using namespace std::chrono_literals;

namespace {

/// Runs effects of a service or strategy to their end and returns the last claim response.
template <typename Log>
claim_response settle(Log& log, platform_model& platform, shard_effects effects, clock_reading at) {
  claim_response response;
  while (!effects.empty()) {
    const shard_effect effect = effects.front();
    effects.erase(effects.begin());
    if (const auto* claimed = std::get_if<answer_claim>(&effect)) {
      response = claimed->response;
    } else if (const auto result = platform.execute(effect); result.has_value()) {
      const shard_effects more = deliver(log, *result, at);
      effects.insert(effects.end(), more.begin(), more.end());
    }
  }
  return response;
}

constexpr clock_reading start{time_point(std::chrono::hours(1)),
                              wall_time(std::chrono::hours(400'000))};

claim_parameters request(const std::string& key, const std::string& body = "100") {
  return {payout(key), digest_of(body), start.wall + 5s};
}

}  // namespace

TEST_CASE("shards move between instances with the live members", "[P6][F9]") {
  platform_model platform;
  random_source random(1);
  const instance_name a("a");
  const instance_name b("b");
  claim_service first(a, random);
  claim_service second(b, random);
  settle(first, platform, first.set_live_members({a, b}, start), start);
  settle(second, platform, second.set_live_members({a, b}, start), start);

  std::set<std::uint32_t> used;
  for (int key = 0; key < 500; ++key) {
    const operation_key operation = payout(std::to_string(key));
    used.insert(shard_of(operation));
    REQUIRE(first.owner_of(operation) == second.owner_of(operation));
    REQUIRE(first.owns(shard_of(operation)) != second.owns(shard_of(operation)));
  }
  CHECK(used.size() == run_once_shard_count);

  SECTION("an instance that does not own the shard refuses") {
    claim_service& other = first.owns(shard_of(payout("k"))) ? second : first;
    const auto response =
        settle(other, platform, other.request_claim(1, request("k"), start), start);
    CHECK(response.decision == claim_decision::refused);
  }

  SECTION("the survivor takes over all shards and lists what is in doubt") {
    for (int key = 0; key < 20; ++key) {
      for (claim_service* service : {&first, &second}) {
        settle(*service, platform, service->request_claim(1, request(std::to_string(key)), start),
               start);
      }
    }
    settle(second, platform, second.set_live_members({b}, start), start);
    const auto in_doubt = second.operations(start.wall, true);
    CHECK(second.operations(start.wall, false).size() == 20);
    CHECK(std::all_of(in_doubt.begin(), in_doubt.end(), [&](const operation_status& status) {
      return shard_owner(shard_of(status.record.operation), {a, b}) == a;
    }));
    REQUIRE_FALSE(in_doubt.empty());
    CHECK(second.operation(in_doubt[0].record.operation, start.wall)->in_doubt);
  }

  SECTION("objects outside the log are passed over") {
    for (const char* name :
         {"configuration/head", "run-once-64/1", "run-once-x", "run-once-1x/2"}) {
      CHECK(first.object_created(name, start).empty());
    }
  }
}

// Guards against a lost group commit: under load, writes must not grow with the number of actions.
TEST_CASE("concurrent actions of a shard share its writes", "[B1]") {
  const auto [workers, least_actions_per_write] =
      GENERATE(table<std::size_t, double>({{1, 0.4}, {8, 1.4}, {64, 10.0}}));
  random_source random(1);
  claim_service service(instance_name("a"), random, {}, 1);
  action_load load(service, 4ms, 10ms);
  load.settle(service.set_live_members({instance_name("a")}, load.now()));
  const load_figures figures = load.run(workers, 1s);
  CHECK(static_cast<double>(figures.actions) >=
        least_actions_per_write * static_cast<double>(figures.writes));
}

// Guards against an owner of many shards that takes the whole write rate of the platform.
TEST_CASE("a write interval bounds the writes of a shard", "[B1]") {
  random_source random(1);
  shard_log_settings settings;
  settings.write_interval = 100ms;
  claim_service service(instance_name("a"), random, settings, 1);
  action_load load(service, 4ms, 10ms);
  load.settle(service.set_live_members({instance_name("a")}, load.now()));
  const load_figures figures = load.run(64, 10s);
  CHECK(figures.writes <= 100 + settings.write_burst + 12);  // 12: checkpoints and the last batch.
  CHECK(figures.actions >= 1920);                            // 30 for each worker, in 10 s.
}

TEST_CASE("one object per action gives the same answers", "[P6]") {
  platform_model platform;
  random_source random(1);
  object_per_action log(random);
  const auto ask = [&](const std::string& body) {
    return settle(log, platform, log.request_claim(1, request("k", body), start), start);
  };
  const claim_response granted = ask("100");
  REQUIRE(granted.decision == claim_decision::granted);
  CHECK(ask("200").decision == claim_decision::conflict);
  CHECK(ask("100").decision == claim_decision::in_progress);
  const auto [outcome, expected] = GENERATE(table<verdict, claim_decision>({
      {verdict::ran, claim_decision::answered},
      {verdict::not_run, claim_decision::granted},
      {verdict::may_have_run, claim_decision::in_doubt},
  }));
  settle(log, platform,
         log.complete(2, granted.granted->id, payout("k"), outcome, recorded_response{}, start),
         start);
  CHECK(ask("100").decision == expected);
}

}  // namespace crocusdoor::testing

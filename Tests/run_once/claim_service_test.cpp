#include "run_once/claim_service.h"

#include <catch2/catch.hpp>
#include <set>

#include "action_load.h"
#include "run_once/object_per_action.h"
#include "shard_fixture.h"

namespace crocusdoor::testing {

using namespace std::chrono_literals;

namespace {

/// Executes effects of a service or strategy, and those that follow from them, until none are left.
/// Returns the last claim response.
template <typename Log>
claim_response execute_until_idle(Log& log, platform_model& platform, shard_effects effects,
                                  clock_reading at) {
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

constexpr clock_reading start_time{time_point(std::chrono::hours(1)),
                                   wall_time(std::chrono::hours(400'000))};

claim_parameters request(const std::string& key, const std::string& body = "100") {
  return {payout(key), digest_of(body), start_time.wall + 5s};
}

}  // namespace

TEST_CASE("the owners of shards follow from the set of live members", "[P6][F9]") {
  platform_model platform;
  random_source random(1);
  const instance_name a("a");
  const instance_name b("b");
  claim_service first(a, random);
  claim_service second(b, random);
  execute_until_idle(first, platform, first.set_live_members({a, b}, start_time), start_time);
  execute_until_idle(second, platform, second.set_live_members({a, b}, start_time), start_time);

  std::set<std::uint32_t> used;
  for (int key = 0; key < 500; ++key) {
    const operation_key operation = payout(std::to_string(key));
    used.insert(shard_of(operation));
    REQUIRE(first.owner_of(operation) == second.owner_of(operation));
    REQUIRE(first.owns(shard_of(operation)) != second.owns(shard_of(operation)));
  }
  CHECK(used.size() == run_once_shard_count);

  SECTION("an instance that does not own the shard refuses the claim") {
    claim_service& other = first.owns(shard_of(payout("k"))) ? second : first;
    const auto response = execute_until_idle(
        other, platform, other.request_claim(1, request("k"), start_time), start_time);
    CHECK(response.decision == claim_decision::refused);
  }

  SECTION("the remaining instance takes over all shards and lists operations in doubt") {
    for (int key = 0; key < 20; ++key) {
      for (claim_service* service : {&first, &second}) {
        execute_until_idle(*service, platform,
                           service->request_claim(1, request(std::to_string(key)), start_time),
                           start_time);
      }
    }
    execute_until_idle(second, platform, second.set_live_members({b}, start_time), start_time);
    const auto in_doubt = second.operations(start_time.wall, true);
    CHECK(second.operations(start_time.wall, false).size() == 20);
    CHECK(std::all_of(in_doubt.begin(), in_doubt.end(), [&](const operation_status& status) {
      return shard_owner(shard_of(status.record.operation), {a, b}) == a;
    }));
    REQUIRE_FALSE(in_doubt.empty());
    CHECK(second.operation(in_doubt[0].record.operation, start_time.wall)->in_doubt);
  }

  SECTION("results for objects outside the log are ignored") {
    for (const char* name :
         {"configuration/head", "run-once-64/1", "run-once-x", "run-once-1x/2"}) {
      CHECK(first.object_created(name, start_time).empty());
    }
  }
}

// Guards against the loss of group commit: under load, the number of writes must not grow with the
// number of actions.
TEST_CASE("concurrent actions of a shard share its writes", "[B1]") {
  const auto [workers, min_actions_per_write] =
      GENERATE(table<std::size_t, double>({{1, 0.4}, {8, 1.4}, {64, 10.0}}));
  random_source random(1);
  claim_service service(instance_name("a"), random, {}, 1);
  action_load load(service, 4ms, 10ms);
  load.execute_until_idle(service.set_live_members({instance_name("a")}, load.now()));
  const load_figures figures = load.run(workers, 1s);
  CHECK(static_cast<double>(figures.actions) >=
        min_actions_per_write * static_cast<double>(figures.writes));
}

// Guards against an owner of many shards that uses up the write capacity of the platform.
TEST_CASE("the write interval limits the writes of a shard", "[B1]") {
  random_source random(1);
  shard_log_settings settings;
  settings.write_interval = 100ms;
  claim_service service(instance_name("a"), random, settings, 1);
  action_load load(service, 4ms, 10ms);
  load.execute_until_idle(service.set_live_members({instance_name("a")}, load.now()));
  const load_figures figures = load.run(64, 10s);
  CHECK(figures.writes <= 100 + settings.write_burst + 12);  // 12: checkpoints and the last batch.
  CHECK(figures.actions >= 1920);                            // 30 per worker in 10 s.
}

TEST_CASE("one object per action gives the same claim decisions", "[P6]") {
  platform_model platform;
  random_source random(1);
  object_per_action log(random);
  const auto send_request = [&](const std::string& body) {
    return execute_until_idle(log, platform, log.request_claim(1, request("k", body), start_time),
                              start_time);
  };
  const claim_response granted = send_request("100");
  REQUIRE(granted.decision == claim_decision::granted);
  CHECK(send_request("200").decision == claim_decision::conflict);
  CHECK(send_request("100").decision == claim_decision::in_progress);
  const auto [outcome, expected] = GENERATE(table<verdict, claim_decision>({
      {verdict::ran, claim_decision::answered},
      {verdict::not_run, claim_decision::granted},
      {verdict::may_have_run, claim_decision::in_doubt},
  }));
  execute_until_idle(
      log, platform,
      log.complete(2, granted.granted->id, payout("k"), outcome, recorded_response{}, start_time),
      start_time);
  CHECK(send_request("100").decision == expected);
}

}  // namespace crocusdoor::testing

#include "mesh/upstream_pool.h"

#include <catch2/catch.hpp>
#include <map>

namespace crocusdoor {

namespace {

const service_name service("s");
constexpr time_point now{std::chrono::seconds(100)};
constexpr duration objective = std::chrono::milliseconds(500);
constexpr duration deadline = std::chrono::seconds(2);

mesh_upstream make_upstream(const std::string& name, const std::string& domain) {
  return {instance_name(name), service, failure_domain(domain), 12, true, {}};
}

load_report make_load(std::int32_t in_use, std::int32_t queued, std::int64_t service_ms) {
  load_report load{12, in_use, queued, service_ms * 1'000};
  if (in_use == 12) {
    const auto wait_ms = static_cast<std::int32_t>(service_ms * (queued + 1) / 12);
    load.wait_ms = {wait_ms / 4, wait_ms};
  }
  return load;
}

std::map<std::string, int> choices(upstream_pool& pool, int count, time_point at = now) {
  random_source random(1);
  std::map<std::string, int> result;
  for (int i = 0; i < count; ++i) {
    const auto chosen =
        pool.choose({service, "r", 1, {}, objective, deadline}, at, random).instance;
    ++result[chosen.has_value() ? chosen->str() : "none"];
  }
  return result;
}

}  // namespace

TEST_CASE("a request goes where its answer is expected first", "[mesh][M5]") {
  upstream_pool pool((failure_domain("a")));
  pool.set_upstream(make_upstream("near", "a"));
  pool.set_upstream(make_upstream("far", "b"));
  pool.load_reported(instance_name("near"), make_load(2, 0, 100), now);
  pool.load_reported(instance_name("far"), make_load(2, 0, 100), now);

  SECTION("to the own zone while it meets the objective, also if another one is faster") {
    CHECK(choices(pool, 50)["near"] == 50);
    pool.load_reported(instance_name("near"), make_load(2, 0, 250), now);
    CHECK(choices(pool, 50)["near"] == 50);
  }
  SECTION("to another zone when the own one would hardly meet the objective") {
    pool.load_reported(instance_name("near"), make_load(12, 36, 100), now);
    CHECK(choices(pool, 50)["far"] == 50);
  }
  SECTION("a small request leaves its zone for less than a large one") {
    // Failure guarded against: requests of a few hundred bytes queued in their own zone, while
    // another one had free slots, as if they were as dear to carry as the largest.
    pool.load_reported(instance_name("near"), make_load(12, 20, 100), now);
    random_source random(1);
    pool.size_measured("small", 400);
    pool.size_measured("large", 9'000);
    const auto chosen_for = [&](const std::string& work_class) {
      return pool.choose({service, work_class, 1, {}, objective, deadline}, now, random).instance;
    };
    CHECK(chosen_for("small") == instance_name("far"));
    CHECK(chosen_for("large") == instance_name("near"));
  }
  SECTION("away from an upstream that has turned slow") {
    pool.load_reported(instance_name("near"), make_load(2, 0, 900), now);
    CHECK(choices(pool, 50)["far"] == 50);
  }
  SECTION("own requests count before the upstream reports them") {
    for (int i = 0; i < 36; ++i) {
      pool.attempt_started(instance_name("near"));
    }
    CHECK(choices(pool, 50)["far"] == 50);
  }
  SECTION("away from an upstream that fails a part of its requests, and back when it is well") {
    for (int i = 0; i < 10; ++i) {
      pool.attempt_ended(instance_name("near"),
                         i % 2 == 0 ? attempt_quality::failed : attempt_quality::good, now);
    }
    CHECK(choices(pool, 50)["far"] == 50);
    CHECK(choices(pool, 50, now + std::chrono::seconds(30))["near"] == 50);
  }
  SECTION("away from an upstream whose daemon reports failures of others") {
    load_report failing = make_load(2, 0, 100);
    failing.failed_percent = 30;
    pool.load_reported(instance_name("near"), failing, now);
    CHECK(choices(pool, 50)["far"] == 50);
  }
  SECTION("never to one that leaves, is silent or has been tried") {
    mesh_upstream leaving = make_upstream("near", "a");
    leaving.takes_requests = false;
    pool.set_upstream(leaving);
    CHECK(choices(pool, 10)["far"] == 10);
    pool.set_silent(instance_name("far"), true);
    CHECK(choices(pool, 10)["none"] == 10);
    pool.set_silent(instance_name("far"), false);
    random_source random(1);
    CHECK_FALSE(
        pool.choose({service, "r", 0, {instance_name("far")}, objective, deadline}, now, random)
            .instance.has_value());
  }
}

TEST_CASE("a request that no upstream could answer in time is refused without asking",
          "[mesh][M3]") {
  upstream_pool pool((failure_domain("a")));
  pool.set_upstream(make_upstream("near", "a"));
  pool.load_reported(instance_name("near"), make_load(12, 60, 100), now);
  random_source random(1);
  const placement_request bulk{service, "r", 1, {}, objective, deadline};

  SECTION("with the time after which it would be in time") {
    const placement refused = pool.choose(bulk, now, random);
    CHECK_FALSE(refused.instance.has_value());
    CHECK(refused.overloaded);
    CHECK(refused.retry_after > duration::zero());
    CHECK(refused.retry_after < std::chrono::seconds(1));
  }
  SECTION("but a more urgent one, which waits less, goes ahead") {
    CHECK(
        pool.choose({service, "r", 0, {}, objective, deadline}, now, random).instance.has_value());
  }
  SECTION("nor is a short one, whose caller may have done much work already") {
    pool.service_time_measured("short", std::chrono::milliseconds(20));
    CHECK(pool.choose({service, "short", 1, {}, objective, deadline}, now, random)
              .instance.has_value());
  }
  SECTION("and not on the word of an old report") {
    CHECK(pool.choose(bulk, now + std::chrono::seconds(1), random).instance.has_value());
  }
  SECTION("as soon as one upstream has room it goes there") {
    pool.set_upstream(make_upstream("far", "b"));
    pool.load_reported(instance_name("far"), make_load(3, 0, 100), now);
    CHECK(pool.choose(bulk, now, random).instance == instance_name("far"));
  }
}

TEST_CASE("daemons with the same reports do not all choose the same upstream", "[mesh]") {
  upstream_pool pool((failure_domain("a")));
  for (const char* name : {"one", "two", "three"}) {
    pool.set_upstream(make_upstream(name, "a"));
    pool.load_reported(instance_name(name), make_load(3, 0, 100), now);
  }
  std::map<std::string, int> chosen = choices(pool, 300);
  for (const char* name : {"one", "two", "three"}) {
    CHECK(chosen[name] >= 60);
  }
}

}  // namespace crocusdoor

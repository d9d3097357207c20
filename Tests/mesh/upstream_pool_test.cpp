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

std::map<std::string, int> count_choices(upstream_pool& pool, int count, time_point at = now) {
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

TEST_CASE("a request goes to the upstream with the lowest cost", "[mesh][M5]") {
  upstream_pool pool((failure_domain("a")));
  pool.set_upstream(make_upstream("near", "a"));
  pool.set_upstream(make_upstream("far", "b"));
  pool.load_reported(instance_name("near"), make_load(2, 0, 100), now);
  pool.load_reported(instance_name("far"), make_load(2, 0, 100), now);

  SECTION("to the own zone while it meets the objective, also if another one is faster") {
    CHECK(count_choices(pool, 50)["near"] == 50);
    pool.load_reported(instance_name("near"), make_load(2, 0, 250), now);
    CHECK(count_choices(pool, 50)["near"] == 50);
  }
  SECTION("to another zone when the own zone is unlikely to meet the objective") {
    pool.load_reported(instance_name("near"), make_load(12, 36, 100), now);
    CHECK(count_choices(pool, 50)["far"] == 50);
  }
  SECTION("a small request leaves its zone at a lower load than a large one") {
    // Guards against requests of a few hundred bytes that wait in their own zone while another zone
    // has free slots, because they are assigned the same cost of crossing zones as the largest.
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
  SECTION("away from an upstream that has become slow") {
    pool.load_reported(instance_name("near"), make_load(2, 0, 900), now);
    CHECK(count_choices(pool, 50)["far"] == 50);
  }
  SECTION("this daemon's requests count before the upstream reports them") {
    for (int i = 0; i < 36; ++i) {
      pool.attempt_started(instance_name("near"));
    }
    CHECK(count_choices(pool, 50)["far"] == 50);
  }
  SECTION(
      "away from an upstream that fails some of its requests, and back after it has recovered") {
    for (int i = 0; i < 10; ++i) {
      pool.attempt_ended(instance_name("near"),
                         i % 2 == 0 ? attempt_quality::failed : attempt_quality::good, now);
    }
    CHECK(count_choices(pool, 50)["far"] == 50);
    CHECK(count_choices(pool, 50, now + std::chrono::seconds(30))["near"] == 50);
  }
  SECTION("away from an upstream whose daemon reports failed requests of other callers") {
    load_report failing = make_load(2, 0, 100);
    failing.failed_percent = 30;
    pool.load_reported(instance_name("near"), failing, now);
    CHECK(count_choices(pool, 50)["far"] == 50);
  }
  SECTION("never to an upstream that is leaving, silent or already tried") {
    mesh_upstream leaving = make_upstream("near", "a");
    leaving.takes_requests = false;
    pool.set_upstream(leaving);
    CHECK(count_choices(pool, 10)["far"] == 10);
    pool.set_silent(instance_name("far"), true);
    CHECK(count_choices(pool, 10)["none"] == 10);
    pool.set_silent(instance_name("far"), false);
    random_source random(1);
    CHECK_FALSE(
        pool.choose({service, "r", 0, {instance_name("far")}, objective, deadline}, now, random)
            .instance.has_value());
  }
}

TEST_CASE("a request that no upstream could answer in time is refused without an attempt",
          "[mesh][M3]") {
  upstream_pool pool((failure_domain("a")));
  pool.set_upstream(make_upstream("near", "a"));
  pool.load_reported(instance_name("near"), make_load(12, 60, 100), now);
  random_source random(1);
  const placement_request bulk{service, "r", 1, {}, objective, deadline};

  SECTION("with the time after which it could be answered in time") {
    const placement refused = pool.choose(bulk, now, random);
    CHECK_FALSE(refused.instance.has_value());
    CHECK(refused.overloaded);
    CHECK(refused.retry_after > duration::zero());
    CHECK(refused.retry_after < std::chrono::seconds(1));
  }
  SECTION("a more urgent request, which waits less, is sent") {
    CHECK(
        pool.choose({service, "r", 0, {}, objective, deadline}, now, random).instance.has_value());
  }
  SECTION("a short request is sent, because its caller may have done much work already") {
    pool.service_time_measured("short", std::chrono::milliseconds(20), now);
    CHECK(pool.choose({service, "short", 1, {}, objective, deadline}, now, random)
              .instance.has_value());
  }
  SECTION("an outdated load report does not justify a refusal") {
    CHECK(pool.choose(bulk, now + std::chrono::seconds(1), random).instance.has_value());
  }
  SECTION("it is sent as soon as one upstream has free slots") {
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
  std::map<std::string, int> chosen = count_choices(pool, 300);
  for (const char* name : {"one", "two", "three"}) {
    CHECK(chosen[name] >= 60);
  }
}

TEST_CASE("what was observed of upstreams is checked again", "[mesh]") {
  upstream_pool pool((failure_domain("a")));
  pool.set_upstream(make_upstream("one", "a"));
  pool.set_upstream(make_upstream("two", "a"));

  SECTION("a route whose old estimate rules out all upstreams sends one request a second") {
    // Guards against a route that this daemon refuses as long as the upstreams are in full use,
    // because its requests took long some time ago.
    for (int i = 0; i < 20; ++i) {
      pool.service_time_measured("r", std::chrono::seconds(4), now);
    }
    const time_point later = now + std::chrono::seconds(2);
    const auto report = [&](time_point at) {
      pool.load_reported(instance_name("one"), make_load(12, 0, 50), at);
      pool.load_reported(instance_name("two"), make_load(12, 0, 50), at);
    };
    report(now);
    CHECK(count_choices(pool, 10)["none"] == 10);
    report(later);
    CHECK(count_choices(pool, 10, later)["none"] == 9);
    CHECK(count_choices(pool, 10, later + std::chrono::milliseconds(500))["none"] == 10);
    pool.service_time_measured("r", std::chrono::milliseconds(50), later);
    CHECK(count_choices(pool, 10, later)["none"] == 0);
  }
  SECTION("upstreams that are too full for the mean service time get no such request") {
    pool.service_time_measured("r", std::chrono::seconds(4), now);
    const time_point later = now + std::chrono::seconds(2);
    pool.load_reported(instance_name("one"), make_load(12, 200, 100), later);
    pool.load_reported(instance_name("two"), make_load(12, 200, 100), later);
    CHECK(count_choices(pool, 10, later)["none"] == 10);
  }
  SECTION("an upstream that reported a long service time gets requests again") {
    // Guards against an upstream that was slow once and is avoided as long as others have free
    // slots: without requests, the service time that it reports does not change.
    pool.load_reported(instance_name("one"), make_load(0, 0, 20), now);
    pool.load_reported(instance_name("two"), make_load(0, 0, 2'000), now);
    CHECK(count_choices(pool, 50)["two"] == 0);
    const time_point later = now + std::chrono::seconds(20);
    pool.load_reported(instance_name("two"), make_load(0, 0, 2'000), later);
    CHECK(count_choices(pool, 50, later)["two"] > 0);
    pool.load_reported(instance_name("two"), make_load(0, 0, 1'900), later);
    CHECK(count_choices(pool, 50, later)["two"] == 0);
  }
}

}  // namespace crocusdoor

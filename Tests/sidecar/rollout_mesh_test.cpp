#include <catch2/catch.hpp>

#include "mesh_fixture.h"

namespace crocusdoor {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds span = 6s;
constexpr double share = 0.2;
constexpr double slack = 50;
constexpr duration request_interval = 5ms;

/// Four targets of the old version and, after the order, two of the new one.
struct rollout_fixture : mesh_fixture {
  rollout_fixture() {
    configure(1, "s");
    for (const char* name : {"a1", "a2", "a3", "a4", "b1", "b2"}) {
      test_instance& instance = add(name, "s");
      instance.version = name[0] == 'a' ? "v1" : "v2";
      instance.allow_rollouts(share, slack);
      instance.restart_daemon();
      instance.daemon->start();
    }
    for (const auto& instance : instances) {
      REQUIRE(run_until([&] { return instance->daemon->ready(); }));
      if (instance->version == "v1") {
        instance->announce("ready");
      }
    }
    REQUIRE(run_until([&] {
      return std::all_of(instances.begin(), instances.end(), [](const auto& instance) {
        return instance->daemon->available_upstreams(service_name("s")) == 4;
      });
    }));
    REQUIRE(run_until([&] { return store.waiting_rollout_watches > 0; }));
  }

  void order() {
    store.rollout = rollout_order{"s", service_name("s"), "v2", span, 412, std::nullopt};
    REQUIRE(run_for(1s, [&] { return store.status_writes > 0; }));
    for (const auto& instance : instances) {
      if (instance->version == "v2") {
        instance->announce("ready");
      }
    }
  }

  [[nodiscard]] std::size_t received(const std::string& version) const {
    std::size_t sum = 0;
    for (const auto& instance : instances) {
      sum += instance->version == version ? instance->received.size() : 0;
    }
    return sum;
  }

  [[nodiscard]] bool status_is(wire::rollout_phase phase) const {
    return store.rollout->status == rollout_status{phase, "v2"};
  }

  /// Sends requests at all daemons until the rollout has ended or the time is over.
  void send_until_ended(duration limit) {
    const timer_handle requests = loop.every(request_interval, [&] {
      test_instance& origin = *instances[sent % instances.size()];
      origin.caller->send({"GET",
                           "/safe/x",
                           {{"Host", "h.example"},
                            {"X-Attempt-Id", "r-" + std::to_string(++sent)},
                            {"X-Deadline-Ms", "2000"}},
                           ""},
                          2s, [&](const http_result& result) {
                            succeeded += result.response.status == 200 ? 1 : 0;
                            ++answered;
                          });
    });
    (void)run_for(limit, [&] { return !status_is(wire::rollout_phase::running); });
  }

  std::size_t sent = 0;
  std::size_t answered = 0;
  std::size_t succeeded = 0;
};

}  // namespace

TEST_CASE("one daemon watches the orders of rollouts") {
  rollout_fixture mesh;
  (void)mesh.run_for(300ms, [] { return false; });
  CHECK(mesh.store.waiting_rollout_watches == 1);
  CHECK(std::count_if(mesh.instances.begin(), mesh.instances.end(), [](const auto& instance) {
          return instance->daemon->decides_rollouts();
        }) == 1);
}

TEST_CASE("a good version gets all requests before the deadline") {
  rollout_fixture mesh;
  mesh.order();
  mesh.send_until_ended(span);
  REQUIRE(mesh.status_is(wire::rollout_phase::completed));
  CHECK(mesh.succeeded == mesh.answered);

  SECTION("and the old version gets none any more") {
    const std::size_t before = mesh.received("v1");
    for (const auto& instance : mesh.instances) {
      CHECK(mesh.call(*instance, "GET", "/safe/x").response.status == 200);
    }
    CHECK(mesh.received("v1") == before);
  }
  SECTION("also at a daemon that has just started") {
    test_instance& started = *mesh.instances.front();
    started.restart_daemon();
    started.daemon->start();
    REQUIRE(mesh.run_until(
        [&] { return started.daemon->available_upstreams(service_name("s")) >= 5; }));
    const std::size_t before = mesh.received("v1");
    CHECK(mesh.call(started, "GET", "/safe/x").response.status == 200);
    CHECK(mesh.received("v1") == before);
  }
}

TEST_CASE("a bad version is rolled back within the bound") {
  rollout_fixture mesh;
  for (const auto& instance : mesh.instances) {
    if (instance->version == "v2") {
      instance->on_request = [&failing = *instance](const auto& exchange) {
        failing.respond(*exchange, 500, "");
      };
    }
  }
  mesh.order();
  mesh.send_until_ended(span + 2s);
  REQUIRE(mesh.status_is(wire::rollout_phase::rolled_back));
  const std::size_t exposure = mesh.received("v2");
  CHECK(static_cast<double>(exposure) <= share * static_cast<double>(mesh.sent) + slack);

  for (const auto& instance : mesh.instances) {
    CHECK(mesh.call(*instance, "GET", "/safe/x").response.status == 200);
  }
  CHECK(mesh.received("v2") == exposure);
}

}  // namespace crocusdoor

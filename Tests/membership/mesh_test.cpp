#include <catch2/catch.hpp>

#include "membership/topology.h"
#include "mesh_simulation.h"

namespace crocusdoor {

using namespace std::chrono_literals;

TEST_CASE("a crashed instance is dead in all directories within 10 s", "[F1][F9]") {
  mesh_simulation mesh(128, 3, 1);
  mesh.run(5s);
  CHECK(mesh.converged());
  mesh.crash(7);
  mesh.run(10s);
  CHECK(mesh.count_with_state(7, instance_state::dead) == 127);
  CHECK(mesh.converged());

  SECTION("and its restart replaces the dead record") {
    mesh.start(7, 8);
    mesh.run(10s);
    CHECK(mesh.converged());
  }
}

TEST_CASE("a failure domain whose two watchers crash has two watchers again within 6 s",
          "[F1][P9]") {
  // Guards against two failures: a failure domain without watchers, which gets no configuration
  // changes, and too many instances that become watchers at the same time.
  mesh_simulation mesh(132, 22, 2);
  mesh.run(5s);
  const failure_domain domain("domain-4");
  const auto former = watchers(mesh.nodes[0].known(), domain);
  REQUIRE(former.size() == 2);
  const auto watcher_count = [&] {
    std::size_t count = 0;
    for (std::size_t i = 4; i < mesh.nodes.size(); i += 22) {
      count += mesh.nodes[i].daemon && is_watcher(mesh.nodes[i].known()) ? 1 : 0;
    }
    return count;
  };
  CHECK(watcher_count() == 2);
  for (std::size_t i = 4; i < mesh.nodes.size(); i += 22) {
    const instance_name name = mesh.nodes[i].known().self().name;
    if (name == former[0] || name == former[1]) {
      mesh.crash(i);
    }
  }
  CHECK(watcher_count() == 0);
  std::size_t maximum = 0;
  for (int i = 0; i < 60; ++i) {
    mesh.run(100ms);
    maximum = std::max(maximum, watcher_count());
  }
  CHECK(watcher_count() == 2);
  CHECK(maximum <= 3);
}

TEST_CASE("every service keeps upstreams while the partition of a failure domain heals", "[F11]") {
  mesh_simulation mesh(60, 3, 3);
  mesh.run(3s);
  mesh.delivers = [](std::size_t from, std::size_t to) { return (from % 3 == 0) == (to % 3 == 0); };
  mesh.run(60s);
  CHECK(mesh.nodes[0].known().live_count() == 20);
  CHECK(mesh.nodes[1].known().live_count() == 40);
  CHECK(mesh.nodes[0].known().in_minority());
  CHECK_FALSE(mesh.nodes[1].known().in_minority());

  const std::uint64_t before = mesh.mean_record_bytes();
  mesh.delivers = [](std::size_t, std::size_t) { return true; };
  std::size_t minimum_live = 60;
  for (int i = 0; i < 300; ++i) {
    mesh.run(100ms);
    minimum_live = std::min(minimum_live, mesh.nodes[1].known().live_count());
    for (const service_name& service : mesh.nodes[1].known().services()) {
      CHECK(mesh.nodes[1].known().ready_upstreams(service).size() >= 3);
    }
  }
  CHECK(mesh.converged());
  CHECK(minimum_live == 40);
  std::size_t refuted = 0;
  for (const auto& node : mesh.nodes) {
    refuted += node.known().self().sequence > 0 ? 1 : 0;
  }
  // Only the 20 instances of the smaller side have to refute their marks.
  CHECK(refuted <= 20);
  WARN("record bytes sent by each daemon: " << mesh.mean_record_bytes() - before);
}

TEST_CASE("half of the instances crash and return at once", "[F1]") {
  mesh_simulation mesh(64, 3, 4);
  mesh.run(3s);
  for (std::size_t i = 0; i < 64; i += 2) {
    mesh.crash(i);
  }
  mesh.run(2s);
  SECTION("they return before they are declared dead") {
    for (std::size_t i = 0; i < 64; i += 2) {
      mesh.start(i, (i + 1) % 64);
    }
    mesh.run(15s);
    CHECK(mesh.converged());
    WARN("record bytes sent by each daemon: " << mesh.mean_record_bytes());
  }
  SECTION("they return after they were declared dead, with a stale hint each") {
    mesh.run(20s);
    CHECK(mesh.converged());
    for (std::size_t i = 0; i < 64; i += 2) {
      mesh.start(i, (i + 2) % 64);
      mesh.nodes[i].known().add_hint(make_record(1));
    }
    mesh.run(20s);
    CHECK(mesh.converged());
  }
  SECTION("half of the others crash too, and the survivors still agree") {
    for (std::size_t i = 1; i < 64; i += 4) {
      mesh.crash(i);
    }
    mesh.run(60s);
    CHECK(mesh.converged());
  }
}

TEST_CASE("survivors agree after three quarters of the instances have died", "[F1]") {
  mesh_simulation mesh(64, 3, 211);
  mesh.run(3s);
  for (std::size_t i = 0; i < 64; i += 2) {
    mesh.crash(i);
  }
  mesh.run(2s);
  for (std::size_t i = 1; i < 64; i += 4) {
    mesh.crash(i);
  }
  mesh.run(60s);
  CHECK(mesh.converged());
}

TEST_CASE("a draining instance is no upstream in any directory after 2 s", "[P7][P8]") {
  mesh_simulation mesh(64, 3, 5);
  mesh.run(3s);
  auto& draining = mesh.nodes[9];
  const service_name service = draining.known().self().service;
  draining.daemon->set_state(instance_state::draining, mesh.now);
  mesh.run(2s);
  for (const auto& node : mesh.nodes) {
    for (const instance_record& upstream : node.known().ready_upstreams(service)) {
      CHECK(upstream.name != draining.known().self().name);
    }
  }
  draining.daemon->set_state(instance_state::left, mesh.now);
  mesh.run(2s);
  mesh.crash(9);
  mesh.run(20s);
  CHECK(mesh.count_with_state(9, instance_state::left) == 63);
}

TEST_CASE("live instances declared dead during message loss and reordering become ready again",
          "[F1][F3][F11]") {
  const auto seed = GENERATE(range(10, 14));
  mesh_simulation mesh(20, 3, static_cast<std::uint64_t>(seed));
  random_source faults(static_cast<std::uint64_t>(seed));
  std::size_t false_deaths = 0;
  mesh.delivers = [&](std::size_t, std::size_t) { return faults.fraction() < 0.5; };
  mesh.maximum_delay = 2s;
  for (int i = 0; i < 12; ++i) {
    const std::size_t restarted = faults.index(20);
    mesh.crash(restarted);
    mesh.run(duration(faults.up_to(8s)));
    mesh.start(restarted, faults.index(20));
    mesh.run(2s);
    for (std::size_t k = 0; k < 20; ++k) {
      false_deaths += mesh.count_with_state(k, instance_state::dead);
    }
  }
  CHECK(false_deaths > 0);
  mesh.delivers = [](std::size_t, std::size_t) { return true; };
  mesh.maximum_delay = duration::zero();
  mesh.run(40s);
  CHECK(mesh.converged());
}

}  // namespace crocusdoor

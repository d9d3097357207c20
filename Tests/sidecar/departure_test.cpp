#include "mesh_fixture.h"

namespace crocusdoor {

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
/// Longer than it takes a heartbeat to make its target available to the other daemons.
constexpr duration heartbeat_time = std::chrono::milliseconds(300);

/// An origin and an instance of the service "s" whose target leaves.
struct leaving_mesh {
  leaving_mesh() : origin(mesh.add("origin", "other")), leaving(mesh.add("leaving", "s")) {
    mesh.configure(1, "s");
    mesh.start();
  }

  void expect_no_requests() {
    CHECK_FALSE(mesh.run_for(
        heartbeat_time, [&] { return origin.daemon->available_upstreams(service_name("s")) > 0; }));
    CHECK(mesh.call(origin, "POST", "/once/", "x").response.status == status_unavailable);
    CHECK(leaving.received.empty());
  }

  void expect_requests() {
    CHECK(
        mesh.run_until([&] { return origin.daemon->available_upstreams(service_name("s")) == 1; }));
    CHECK(mesh.call(origin, "POST", "/once/", "x").response.status == status_ok);
  }

  mesh_fixture mesh;
  test_instance& origin;
  test_instance& leaving;
};

}  // namespace

TEST_CASE("an acknowledged departure binds after all daemons have ended at once", "[sidecar][P7]") {
  // Failure guarded against: a late heartbeat brought requests to a target that had left, because
  // no daemon was left that knew of the departure (review/2).
  leaving_mesh test;
  const std::uint64_t late_sequence = 7;

  SECTION("of a target that has withdrawn") {
    CHECK(test.leaving.withdraw() == status_ok);
    test.mesh.restart_all_daemons();
    CHECK(test.leaving.send_heartbeat("ready", late_sequence) == status_ok);
    test.expect_no_requests();
  }
  SECTION("of a target that drains") {
    CHECK(test.leaving.send_heartbeat("draining", late_sequence) == status_ok);
    test.mesh.restart_all_daemons();
    CHECK(test.leaving.send_heartbeat("ready", late_sequence - 1) == status_ok);
    test.expect_no_requests();
  }
  SECTION("again and again") {
    CHECK(test.leaving.withdraw() == status_ok);
    for (int restart = 0; restart < 3; ++restart) {
      test.mesh.restart_all_daemons();
    }
    CHECK(test.leaving.send_heartbeat("ready", late_sequence) == status_ok);
    test.expect_no_requests();
  }
  SECTION("also if the store has turned away its daemon since") {
    CHECK(test.leaving.withdraw() == status_ok);
    test.mesh.store.turned_away.insert(instance_name("leaving"));
    test.leaving.restart_daemon();
    test.origin.restart_daemon();
    test.origin.daemon->start();
    REQUIRE(test.mesh.run_until([&] { return test.origin.daemon->ready(); }));
    test.leaving.daemon->start();
    REQUIRE(test.mesh.run_until([&] { return test.leaving.daemon->ready(); }));
    CHECK(test.leaving.send_heartbeat("ready", late_sequence) == status_ok);
    test.expect_no_requests();
  }
  SECTION("and not the next start of the target") {
    CHECK(test.leaving.withdraw() == status_ok);
    test.mesh.restart_all_daemons();
    test.leaving.restart_target();
    test.leaving.announce("ready");
    test.expect_requests();
  }
}

TEST_CASE("a departure is acknowledged only when the store has it", "[sidecar][P7]") {
  leaving_mesh test;
  test.mesh.store.reachable = false;
  CHECK(test.leaving.withdraw() == status_unavailable);

  SECTION("and the target gets no requests in the meantime") {
    test.expect_no_requests();
  }
  SECTION("and is acknowledged when its target asks again") {
    test.mesh.store.reachable = true;
    CHECK(test.leaving.withdraw() == status_ok);
    test.mesh.restart_all_daemons();
    CHECK(test.leaving.send_heartbeat("ready", 1) == status_ok);
    test.expect_no_requests();
  }
}

TEST_CASE("a write that the store executes late does not undo a departure", "[sidecar][P7]") {
  // Failure guarded against: a write whose response was given up replaced the entry seconds later
  // by one without the departures acknowledged since.
  leaving_mesh test;
  test.mesh.store.late_writes = 1;
  CHECK(test.leaving.withdraw() == status_ok);
  test.leaving.replace_target("i-next");
  CHECK(test.leaving.withdraw() == status_ok);
  test.mesh.run_for(std::chrono::milliseconds(800), [] { return false; });
  test.mesh.restart_all_daemons();
  CHECK(test.leaving.send_heartbeat("ready", 1) == status_ok);
  test.expect_no_requests();
}

TEST_CASE("an acknowledged departure of a target that was not registered binds", "[sidecar][P7]") {
  // Failure guarded against: the first heartbeat of a target came after its acknowledged
  // withdrawal and brought requests to it, because its crashed predecessor was still registered
  // (review/3).
  leaving_mesh test;

  SECTION("under a new id") {
    test.leaving.replace_target("i-new");
  }
  SECTION("under the id of its predecessor") {
    test.leaving.restart_target();
  }
  CHECK(test.leaving.withdraw() == status_ok);
  CHECK(test.leaving.send_heartbeat("ready", 1) == status_ok);
  test.expect_no_requests();
}

TEST_CASE("a departure of a target at another address is not acknowledged", "[sidecar][P7]") {
  leaving_mesh test;
  const json draining = {
      {"service", "s"}, {"address", "127.0.0.1:1"}, {"zone", "a"},       {"version", "v1"},
      {"capacity", 4},  {"state", "draining"},      {"warmupLeftMs", 0}, {"sequence", 1},
      {"born", 1}};
  CHECK(test.leaving.send_registration("PUT", draining) == 400);
  test.expect_requests();
}

TEST_CASE("a planned stop keeps the departure of a target that runs on", "[sidecar][P7]") {
  leaving_mesh test;
  CHECK(test.leaving.withdraw() == status_ok);
  const instance_name name("leaving");

  SECTION("because the target may send a late heartbeat to the next process") {
    test.leaving.daemon->begin_stop();
    CHECK_FALSE(
        test.mesh.run_for(heartbeat_time, [&] { return !test.mesh.store.daemons.contains(name); }));
  }
  SECTION("and removes the entry if the target has ended") {
    test.leaving.crash_target();
    test.leaving.daemon->begin_stop();
    CHECK(
        test.mesh.run_for(heartbeat_time, [&] { return !test.mesh.store.daemons.contains(name); }));
  }
}

}  // namespace crocusdoor

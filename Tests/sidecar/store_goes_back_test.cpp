#include <algorithm>

#include "mesh_fixture.h"

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
/// Time within which the daemons have written again what the store has lost.
constexpr duration rewrite_limit = seconds(4);
const std::string poison_body = "poison";

/// Four instances and a store that states its era.
struct aging_mesh {
  aging_mesh()
      : origin(mesh.add("origin", "other")),
        leaving(mesh.add("leaving", "s")),
        first(mesh.add("first", "s")),
        second(mesh.add("second", "s")) {
    mesh.store.era = 1;
    mesh.configure(1, "s");
    empty = mesh.store.take_copy();
    mesh.start();
    older = mesh.store.take_copy();
  }

  /// Sends a request that ends each target that gets it, and waits until an entry has its count.
  /// Returns the instance whose daemon keeps the count.
  test_instance& crash_targets() {
    for (test_instance* target : {&first, &second}) {
      target->on_request = [this, target](const std::shared_ptr<http_exchange>& exchange) {
        unanswered.push_back(exchange);
        timers.push_back(mesh.loop.after(duration::zero(), [target] { target->crash_target(); }));
        timers.push_back(
            mesh.loop.after(milliseconds(200), [target] { target->restart_target(); }));
      };
    }
    mesh.call(origin, "POST", "/safe/1", poison_body);
    REQUIRE(mesh.run_until([&] { return keeper() != nullptr; }));
    mesh.run_for(milliseconds(300), [] { return false; });
    return *keeper();
  }

  test_instance* keeper() {
    for (const auto& instance : mesh.instances) {
      const auto found = mesh.store.daemons.find(instance_name(instance->name));
      if (found != mesh.store.daemons.end() && !found->second.crashing_requests.empty()) {
        return instance.get();
      }
    }
    return nullptr;
  }

  bool departure_stored() {
    const auto found = mesh.store.daemons.find(instance_name(leaving.name));
    return found != mesh.store.daemons.end() && !found->second.departures.empty();
  }

  bool all_have_version(std::uint64_t version) {
    return std::all_of(mesh.instances.begin(), mesh.instances.end(), [&](const auto& instance) {
      return instance->daemon->configuration_version() == version;
    });
  }

  void kill_daemon(test_instance& instance) {
    instance.restart_daemon();
    instance.daemon->start();
  }

  mesh_fixture mesh;
  test_instance& origin;
  test_instance& leaving;
  test_instance& first;
  test_instance& second;
  store_contents::copy empty;
  store_contents::copy older;
  std::vector<std::shared_ptr<http_exchange>> unanswered;
  std::vector<timer_handle> timers;
};

}  // namespace

TEST_CASE("what the store acknowledged just before it went back", "[sidecar][F6][P7][P9]") {
  // Failure guarded against: the store lost what it had acknowledged, no daemon wrote it again, and
  // it was forgotten when all daemons ended.
  aging_mesh test;
  test.mesh.configure(2, "s");
  REQUIRE(test.mesh.run_until([&] { return test.all_have_version(2); }));
  CHECK(test.leaving.withdraw() == status_ok);
  test_instance& counting = test.crash_targets();
  test.mesh.store.go_back(test.older);

  SECTION("is written again by all daemons") {}
  SECTION("is written again although the daemon of the target that left is killed") {
    test.kill_daemon(test.leaving);
  }
  SECTION("is written again although the daemon that counted the crashes is killed") {
    test.kill_daemon(counting);
  }
  CHECK(test.mesh.run_for(rewrite_limit, [&] {
    return test.departure_stored() && test.keeper() != nullptr && test.all_have_version(2);
  }));
  test.mesh.restart_all_daemons();
  CHECK(test.leaving.send_heartbeat("ready", 7) == status_ok);
  test.first.announce("ready");
  test.second.announce("ready");
  CHECK(test.mesh.run_until(
      [&] { return test.origin.daemon->available_upstreams(service_name("s")) == 2; }));
  const http_result refused = test.mesh.call(test.origin, "POST", "/safe/1", poison_body);
  CHECK(refused.response.status == status_unavailable);
  CHECK(test.leaving.received.empty());
}

TEST_CASE("entries that the store has lost are created again", "[sidecar]") {
  // Failure guarded against: a daemon without an entry is not found by daemons that start.
  aging_mesh test;
  test.mesh.store.go_back(test.empty);
  CHECK(test.mesh.run_for(
      rewrite_limit, [&] { return test.mesh.store.daemons.size() == test.mesh.instances.size(); }));
}

TEST_CASE("a departure is acknowledged only if the current era of the store has it",
          "[sidecar][P7]") {
  // Failure guarded against: the store went back between its write and its response.
  aging_mesh test;
  test.mesh.store.after_write = [&] { test.mesh.store.go_back(test.older); };
  const int status = test.leaving.withdraw();
  CHECK((status == status_ok) == test.departure_stored());
  CHECK(test.mesh.run_for(rewrite_limit, [&] { return test.departure_stored(); }));
}

TEST_CASE("a store that does not go back gets no additional calls", "[sidecar]") {
  aging_mesh test;
  CHECK(test.leaving.withdraw() == status_ok);
  const int calls = test.mesh.store.calls;
  const int watches = 2;
  test.mesh.run_for(seconds(1), [] { return false; });
  CHECK(test.mesh.store.calls - calls <= watches);
}

}  // namespace crocusdoor

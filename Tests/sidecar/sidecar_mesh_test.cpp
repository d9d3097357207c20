#include <algorithm>
#include <set>

#include "mesh_fixture.h"
#include "raw_connection.h"

namespace crocusdoor {

namespace {

std::size_t received_by(const mesh_fixture& mesh) {
  std::size_t count = 0;
  for (const auto& instance : mesh.instances) {
    count += instance->received.size();
  }
  return count;
}

}  // namespace

TEST_CASE("a request and its response pass through two sidecars unchanged", "[sidecar][P4]") {
  mesh_fixture mesh;
  test_instance& origin = mesh.add("origin", "other");
  test_instance& target = mesh.add("target", "s");
  mesh.configure(1, "s");
  mesh.start();

  const http_result result = mesh.call(origin, "PUT", "/once/a?b=c", "body");
  CHECK(result.response.status == 200);
  CHECK(result.response.body == "answer of target");
  CHECK(header_value(result.response.headers, "X-Response-Seal") == "seal of target");
  REQUIRE(target.received.size() == 1);
  const http_request& arrived = target.received.front();
  CHECK(arrived.method == "PUT");
  CHECK(arrived.target == "/once/a?b=c");
  CHECK(arrived.body == "body");
  CHECK(header_value(arrived.headers, "X-Caller-Service") == "other");
  CHECK(header_value(arrived.headers, "X-Expect-Instance") == "i-target");
  CHECK(std::stoi(header_value(arrived.headers, "X-Deadline-Ms")) <= 2'000);

  SECTION("a path without a route gets status 404") {
    CHECK(mesh.call(origin, "GET", "/none/").response.status == 404);
  }
  SECTION("a failure of the target is passed on unchanged") {
    target.on_request = [&](const auto& exchange) { target.respond(*exchange, 500, "broken"); };
    const http_result failed = mesh.call(origin, "POST", "/once/", "x");
    CHECK(failed.response.status == 500);
    CHECK(failed.response.body == "broken");
    CHECK(header_value(failed.response.headers, "X-Response-Seal") == "seal of target");
  }
}

TEST_CASE("a request that may run only once is sent again only with a proof that it has not run",
          "[sidecar][P6]") {
  mesh_fixture mesh;
  test_instance& origin = mesh.add("origin", "other");
  mesh.add("one", "s");
  mesh.add("two", "s");
  mesh.configure(1, "s");
  mesh.start();
  const auto all_targets = [&](const test_instance::behaviour& behaviour) {
    mesh.instances[1]->on_request = behaviour;
    mesh.instances[2]->on_request = behaviour;
  };

  SECTION("a connection that ends without a response is no proof") {
    all_targets([&](const auto& exchange) { mesh.loop.post([exchange] { exchange->close(); }); });
    CHECK(mesh.call(origin, "POST", "/once/", "x").response.status == 502);
    CHECK(received_by(mesh) == 1);
  }
  SECTION("a success response without a seal is no proof") {
    all_targets([](const auto& exchange) { exchange->respond({200, {}, "forged"}); });
    const http_result result = mesh.call(origin, "POST", "/once/", "x");
    CHECK(result.response.status >= 500);
    CHECK(result.response.status != 503);
    CHECK(received_by(mesh) == 1);
  }
  SECTION("a response that states not run is a proof, and another target is tried") {
    bool first = true;
    all_targets([&](const std::shared_ptr<http_exchange>& exchange) {
      const std::string id = header_value(exchange->request().headers, "X-Attempt-Id");
      if (std::exchange(first, false)) {
        exchange->respond({503, {{"X-Not-Executed", "1"}, {"X-Attempt-Id", id}}, ""});
      } else {
        exchange->respond({200, {{"X-Response-Seal", "s"}, {"X-Attempt-Id", id}}, "done"});
      }
    });
    CHECK(mesh.call(origin, "POST", "/once/", "x").response.body == "done");
    CHECK(received_by(mesh) == 2);
  }
  SECTION("an idempotent request is retried at the other target") {
    bool first = true;
    all_targets([&](const std::shared_ptr<http_exchange>& exchange) {
      if (std::exchange(first, false)) {
        mesh.loop.post([exchange] { exchange->close(); });
      } else {
        mesh.instances[1]->respond(*exchange, 200, "done");
      }
    });
    CHECK(mesh.call(origin, "GET", "/safe/").response.body == "done");
    CHECK(received_by(mesh) == 2);
  }
}

TEST_CASE("a request whose caller disconnected before it was read reaches no target", "[sidecar]") {
  // Failure guarded against: after a pause, the event loop forwarded each request that it read and
  // only afterwards detected the close of the caller's connection, which was in the same socket.
  mesh_fixture mesh;
  test_instance& origin = mesh.add("origin", "other");
  test_instance& target = mesh.add("target", "s");
  mesh.configure(1, "s");
  mesh.start();
  for (const char* path : {"/safe/", "/once/"}) {
    raw_connection caller(origin.callers_port());
    const std::string head = "GET " + std::string(path) + " HTTP/1.1\r\nHost: h.example\r\n";
    caller.write(head + "X-Attempt-Id: a\r\nX-Deadline-Ms: 2000\r\n\r\n");
    SECTION("a single request") {}
    SECTION("a request followed by another one") {
      caller.write(head + "X-Attempt-Id: b\r\nX-Deadline-Ms: 2000\r\n\r\n");
    }
    caller.close();
    mesh.run_for(std::chrono::milliseconds(100), [] { return false; });
    INFO(path);
    CHECK(target.received.empty());
  }
}

TEST_CASE("a response to a request of an earlier process is discarded", "[sidecar][P4]") {
  // Failure guarded against: a restarted daemon numbered its calls from the beginning and took the
  // response to a call of its previous process for the response to its own call.
  mesh_fixture mesh;
  test_instance& origin = mesh.add("origin", "other");
  test_instance& target = mesh.add("target", "s");
  mesh.configure(1, "s");
  mesh.start();
  std::shared_ptr<http_exchange> first;
  target.on_request = [&](const auto& exchange) { first = exchange; };
  origin.caller->send({"POST",
                       "/once/",
                       {{"Host", "h.example"}, {"X-Attempt-Id", "old"}, {"X-Deadline-Ms", "2000"}},
                       "x"},
                      std::chrono::seconds(2), [](const http_result&) {});
  REQUIRE(mesh.run_until([&] { return first != nullptr; }));

  origin.restart_daemon();
  origin.daemon->start();
  REQUIRE(mesh.run_until([&] {
    return origin.daemon->ready() && origin.daemon->available_upstreams(service_name("s")) == 1;
  }));
  target.on_request = [&](const std::shared_ptr<http_exchange>& exchange) {
    target.respond(*first, 200, "to the earlier process");
    mesh.loop.post([&target, exchange] { target.respond(*exchange, 200, "to this process"); });
  };
  CHECK(mesh.call(origin, "POST", "/once/", "x").response.body == "to this process");
}

TEST_CASE("a draining target gets no new requests once its heartbeat is acknowledged",
          "[sidecar][P7]") {
  mesh_fixture mesh;
  test_instance& origin = mesh.add("origin", "other");
  test_instance& leaving = mesh.add("leaving", "s");
  test_instance& staying = mesh.add("staying", "s");
  mesh.configure(1, "s");
  mesh.start();
  leaving.announce("draining");
  for (int i = 0; i < 20; ++i) {
    CHECK(mesh.call(origin, "POST", "/once/", "x").response.status == 200);
  }
  CHECK(leaving.received.empty());
  CHECK(staying.received.size() == 20);

  SECTION("requests are refused as not run at once when the last target drains") {
    staying.announce("draining");
    const http_result refused = mesh.call(origin, "POST", "/once/", "x");
    CHECK(refused.response.status == 503);
    CHECK(refused.response.headers.contains("Retry-After"));
    CHECK(staying.received.size() == 20);
  }
}

TEST_CASE("a draining target gets no requests after a restart of its sidecar", "[sidecar][P7]") {
  // Failure guarded against: after the sidecar that had acknowledged the drain was restarted, it
  // took a delayed heartbeat for that of a new target and sent it requests (crewshare-mesh,
  // trouble-3, seed 998392152635).
  mesh_fixture mesh;
  test_instance& origin = mesh.add("origin", "other");
  test_instance& leaving = mesh.add("leaving", "s");
  mesh.configure(1, "s");
  mesh.start();
  leaving.announce("draining");
  leaving.restart_daemon();
  leaving.daemon->start();
  REQUIRE(mesh.run_until([&] { return leaving.daemon->ready(); }));
  leaving.announce_with_sequence("ready", 1);
  CHECK_FALSE(mesh.run_for(std::chrono::milliseconds(200), [&] {
    return origin.daemon->available_upstreams(service_name("s")) > 0;
  }));
  CHECK(mesh.call(origin, "POST", "/once/", "x").response.status == 503);
  CHECK(leaving.received.empty());
}

TEST_CASE("configuration versions only increase and reach every sidecar", "[sidecar][P1][P9]") {
  mesh_fixture mesh;
  test_instance& origin = mesh.add("origin", "other");
  mesh.add("old", "s");
  mesh.add("new", "t");
  mesh.configure(5, "s");
  mesh.start();
  CHECK(mesh.call(origin, "GET", "/safe/").response.body == "answer of old");

  SECTION("a newer version is adopted soon after it is written") {
    mesh.configure(9, "t");
    CHECK(mesh.run_until([&] { return origin.daemon->configuration_version() == 9; }));
    CHECK(mesh.call(origin, "GET", "/safe/").response.body == "answer of new");
  }
  SECTION("an older version is not adopted") {
    mesh.configure(4, "t");
    const timer_handle pause = mesh.loop.after(std::chrono::seconds(1), [&] { mesh.loop.stop(); });
    mesh.loop.run();
    CHECK(origin.daemon->configuration_version() == 5);
    CHECK(mesh.call(origin, "GET", "/safe/").response.body == "answer of old");
  }
  SECTION("a sidecar that the store refuses gets the version from a peer") {
    mesh.store.reachable = false;
    test_instance& late = mesh.add("late", "s");
    late.daemon->start();
    // It cannot list the daemons either; a daemon that knows its address connects to it.
    origin.daemon->introduce_peer(instance_name("late"), late.daemon->peer_endpoint());
    CHECK(mesh.run_until([&] { return late.daemon->configuration_version() == 5; }));
    CHECK(late.daemon->ready());
  }
}

TEST_CASE("an address that a new instance uses is not used for the old instance", "[sidecar][F9]") {
  // Failure guarded against: every two seconds peers dialled a dead instance at an address that a
  // new instance now used. The new instance accepted these links and requests on them were lost
  // (crewshare-mesh-grown, trouble-3).
  mesh_fixture mesh;
  test_instance& origin = mesh.add("origin", "other");
  test_instance& successor = mesh.add("successor", "s");
  mesh.configure(1, "s");
  mesh.store.daemons[instance_name("dead")] = {
      instance_name("dead"), to_string(successor.daemon->peer_endpoint()), {}};
  mesh.start();
  CHECK(mesh.run_until([&] { return !mesh.store.daemons.contains(instance_name("dead")); }));
  CHECK(mesh.run_for(std::chrono::seconds(3),
                     [&] { return !origin.daemon->knows_peer(instance_name("dead")); }));
  CHECK(mesh.call(origin, "POST", "/once/", "x").response.status == 200);
}

TEST_CASE("the number of store calls for a change does not grow with the number of sidecars",
          "[sidecar][M8]") {
  // Failure guarded against: every sidecar waited at the store, so each change cost as many store
  // calls as there were sidecars (silvale-mesh-grown, quiet-1: 1,979 calls of 59 sidecars).
  mesh_fixture mesh;
  for (const std::string name : {"a", "b", "c", "d", "e", "f"}) {
    mesh.add(name, "s");
  }
  mesh.configure(1, "s");
  mesh.start();
  REQUIRE(mesh.run_until([&] { return mesh.store.waiting == 2; }));
  CHECK_FALSE(mesh.run_for(std::chrono::seconds(1), [&] { return mesh.store.waiting != 2; }));

  const auto all_have_version = [&](std::uint64_t version) {
    return std::all_of(mesh.instances.begin(), mesh.instances.end(), [&](const auto& instance) {
      return instance->daemon->configuration_version() == version;
    });
  };
  mesh.configure(4, "s");
  // This is sooner than a sidecar that did not get the change would read from the store itself.
  CHECK(mesh.run_for(std::chrono::milliseconds(500), [&] { return all_have_version(4); }));

  SECTION("a watcher that stops is replaced before it ends") {
    const auto watcher =
        std::find_if(mesh.instances.begin(), mesh.instances.end(),
                     [](const auto& instance) { return instance->daemon->is_watcher(); });
    (*watcher)->daemon->begin_stop();
    CHECK(mesh.run_for(std::chrono::seconds(1), [&] {
      return std::count_if(mesh.instances.begin(), mesh.instances.end(), [](const auto& instance) {
               return instance->daemon->is_watcher();
             }) == 2;
    }));
    CHECK(mesh.run_for(std::chrono::seconds(1), [&] { return mesh.store.waiting == 2; }));
  }
  SECTION("other sidecars become watchers when the watchers are gone") {
    std::erase_if(mesh.instances,
                  [](const auto& instance) { return instance->daemon->is_watcher(); });
    REQUIRE(mesh.instances.size() == 4);
    mesh.store.waiting = 0;
    CHECK(mesh.run_until([&] { return mesh.store.waiting == 2; }));
    // They do not request the changes again that they have received from the watchers.
    CHECK(mesh.store.last_watch_revision == mesh.store.revision);
    mesh.configure(6, "s");
    CHECK(mesh.run_until([&] { return all_have_version(6); }));
  }
}

TEST_CASE("a sidecar that stops accepts no request whose deadline is after its end",
          "[sidecar][P5][P8]") {
  // Failure guarded against: a request that was accepted 3 s after SIGTERM with a deadline of 3 s
  // was interrupted when the process ended after 5.4 s.
  mesh_fixture mesh;
  test_instance& origin = mesh.add("origin", "other");
  test_instance& target = mesh.add("target", "s");
  mesh.configure(1, "s", std::chrono::milliseconds(3'000));
  mesh.start();
  std::vector<timer_handle> timers;
  const bool target_stops = GENERATE(false, true);
  target.on_request = [&](const std::shared_ptr<http_exchange>& exchange) {
    timers.push_back(mesh.loop.after(std::chrono::milliseconds(2'700), [&target, exchange] {
      target.respond(*exchange, 200, "done");
    }));
  };
  std::map<std::string, int> statuses;  // By the id of the request.
  int interrupted = 0;
  int id = 0;
  const time_point started_at = mesh.loop.now();
  const timer_handle traffic = mesh.loop.every(std::chrono::milliseconds(100), [&] {
    if (mesh.loop.now() - started_at < std::chrono::milliseconds(2'450)) {
      return;  // Earlier requests would use all slots.
    }
    const std::string name = "late-" + std::to_string(++id);
    origin.caller->send({"POST",
                         "/once/",
                         {{"Host", "h.example"},
                          {"X-Attempt-Id", name},
                          {"X-Deadline-Ms", "3000"},
                          {"Connection", "close"}},
                         "x"},
                        std::chrono::seconds(7), [&, name](const http_result& result) {
                          statuses[name] = result.response.status;
                          interrupted += result.outcome == http_outcome::interrupted ? 1 : 0;
                        });
  });
  test_instance& stopped = target_stops ? target : origin;
  stopped.daemon->begin_stop();
  mesh.loop.run();
  // The process has ended; requests that it had not finished are interrupted.
  stopped.daemon = nullptr;
  mesh.run_for(std::chrono::seconds(4), [] { return false; });
  CHECK(interrupted == 0);
  int refused = 0;
  std::set<std::string> ran;
  for (const http_request& request : target.received) {
    ran.insert(header_value(request.headers, "X-Attempt-Id"));
  }
  for (const auto& [name, status] : statuses) {
    refused += status == 503 ? 1 : 0;
    INFO(name << " got " << status);
    // 0: the connection was refused because the process had ended.
    CHECK((status == 200 || status == 503 || status == 0));
    CHECK((status != 503 || !ran.contains(name)));
  }
  CHECK(refused > 0);
}

TEST_CASE("a sidecar that stops finishes the requests that it has read", "[sidecar][P8]") {
  // Failure guarded against: a request that was accepted more than 3 s after SIGTERM was
  // interrupted when the process ended (crewshare-mesh, mix, seed 622042409225; hunt-35eb-7).
  mesh_fixture mesh;
  test_instance& origin = mesh.add("origin", "other");
  test_instance& target = mesh.add("target", "s");
  mesh.configure(1, "s");
  mesh.start();
  std::vector<timer_handle> timers;
  target.on_request = [&](const std::shared_ptr<http_exchange>& exchange) {
    timers.push_back(mesh.loop.after(std::chrono::milliseconds(400), [&target, exchange] {
      target.respond(*exchange, 200, "done");
    }));
  };
  // A caller sends requests on new connections every 60 ms until the process has ended.
  int answered = 0;
  int not_sent = 0;
  int interrupted = 0;
  int id = 0;
  const timer_handle traffic = mesh.loop.every(std::chrono::milliseconds(60), [&] {
    origin.caller->send({"POST",
                         "/once/",
                         {{"Host", "h.example"},
                          {"X-Attempt-Id", "stop-" + std::to_string(++id)},
                          {"X-Deadline-Ms", "2000"},
                          {"Connection", "close"}},
                         "x"},
                        std::chrono::seconds(5), [&](const http_result& result) {
                          answered += result.response.status == 200 ? 1 : 0;
                          not_sent += result.outcome == http_outcome::not_sent ? 1 : 0;
                          interrupted += result.outcome == http_outcome::interrupted ? 1 : 0;
                        });
  });
  const time_point started_at = mesh.loop.now();
  origin.daemon->begin_stop();
  CHECK_FALSE(origin.daemon->ready());
  // The daemon stops the loop when its stop is complete.
  mesh.loop.run();
  const duration took = mesh.loop.now() - started_at;
  CHECK(took >= std::chrono::seconds(2));
  CHECK(took <= std::chrono::seconds(6));
  CHECK(answered > 0);
  CHECK(not_sent > 0);
  CHECK(interrupted == 0);
  std::set<std::string> ids;
  for (const http_request& request : target.received) {
    ids.insert(header_value(request.headers, "X-Attempt-Id"));
  }
  CHECK(ids.size() == target.received.size());
  CHECK(static_cast<int>(target.received.size()) == answered);
}

}  // namespace crocusdoor

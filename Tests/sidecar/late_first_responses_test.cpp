#include <memory>
#include <optional>

#include "mesh_fixture.h"

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Makes a target keep its first requests without a response, and respond to all later ones.
void mute_first_requests(test_instance& target, std::size_t count) {
  const auto kept = std::make_shared<std::vector<std::shared_ptr<http_exchange>>>();
  target.on_request = [&target, kept, count](const std::shared_ptr<http_exchange>& exchange) {
    if (kept->size() < count) {
      kept->push_back(exchange);
    } else {
      target.respond(*exchange, 200, "ran");
    }
  };
}

/// Calls until a request is served. Returns how long this took, or nothing after 3 s.
std::optional<duration> time_until_served(mesh_fixture& mesh, test_instance& origin,
                                          const std::string& method, const std::string& path) {
  const time_point begin = mesh.loop.now();
  while (mesh.loop.now() - begin < seconds(3)) {
    if (mesh.call(origin, method, path).response.status == 200) {
      return mesh.loop.now() - begin;
    }
    mesh.run_for(milliseconds(20), [] { return false; });
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("a service whose first responses were late is served afterwards", "[sidecar]") {
  // Guards against a service that is refused permanently: the first requests were cut off at their
  // deadline, the estimate stayed above every later deadline, and no request ran to correct it.
  mesh_fixture mesh;
  test_instance& origin = mesh.add("origin", "other");
  std::vector<test_instance*> targets;
  SECTION("with one target") {
    targets = {&mesh.add("target-1", "s")};
  }
  SECTION("with two targets") {
    targets = {&mesh.add("target-1", "s"), &mesh.add("target-2", "s")};
  }
  mesh.configure(1, "s", milliseconds(300));
  mesh.start();
  for (test_instance* target : targets) {
    mute_first_requests(*target, 2);
  }
  std::size_t ended = 0;
  for (int i = 0; i < 4; ++i) {
    const std::string id = "first-" + std::to_string(i);
    origin.caller->send({"POST",
                         i % 2 == 0 ? "/safe/" : "/once/",
                         {{"Host", "h.example"}, {"X-Attempt-Id", id}},
                         "x"},
                        seconds(5), [&ended](const http_result&) { ++ended; });
  }
  REQUIRE(mesh.run_until([&] { return ended == 4; }));

  const auto safe = time_until_served(mesh, origin, "GET", "/safe/");
  const auto once = time_until_served(mesh, origin, "POST", "/once/");
  REQUIRE(safe.has_value());
  REQUIRE(once.has_value());
  CHECK(*safe < milliseconds(1'500));
  CHECK(*once < milliseconds(1'500));
  for (int i = 0; i < 10; ++i) {
    CHECK(mesh.call(origin, "GET", "/safe/").response.status == 200);
    CHECK(mesh.call(origin, "POST", "/once/", "x").response.status == 200);
  }
}

}  // namespace crocusdoor

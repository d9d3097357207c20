#include <algorithm>

#include "mesh_fixture.h"

namespace crocusdoor {

namespace {

constexpr int status_ok = 200;
constexpr int status_too_many_requests = 429;
constexpr duration filling_time = std::chrono::seconds(2);
constexpr duration call_limit = std::chrono::seconds(5);

/// Two daemons and a workspace with a quota.
struct quota_mesh {
  quota_mesh() : origin(mesh.add("origin", "other")), upstream(mesh.add("upstream", "s")) {
    mesh.configure(1, "s");
    json document = json::parse(mesh.store.document);
    document["tenants"] = {
        {{"name", "w"}, {"apiKeys", {"key"}}, {"priority", 0}, {"ratePerS", 20}, {"burst", 10}}};
    mesh.store.document = document.dump();
    mesh.start();
    mesh.run_for(filling_time, [] { return false; });
  }

  /// Sends requests at the same time and waits for the responses.
  void call(int requests) {
    for (int i = 0; i < requests; ++i) {
      ++calls;
      origin.caller->send(
          {"GET",
           "/safe/",
           {{"Host", "h.example"},
            {"Authorization", "Bearer key"},
            {"X-Attempt-Id", "id-" + std::to_string(calls)},
            {"X-Deadline-Ms", "2000"}},
           ""},
          call_limit, [this](const http_result& result) { responses.push_back(result.response); });
    }
    REQUIRE(mesh.run_until([this] { return static_cast<int>(responses.size()) == calls; }));
  }

  [[nodiscard]] int count(int status) const {
    return static_cast<int>(
        std::count_if(responses.begin(), responses.end(),
                      [status](const http_response& each) { return each.status == status; }));
  }

  mesh_fixture mesh;
  test_instance& origin;
  test_instance& upstream;
  std::vector<http_response> responses;
  int calls = 0;
};

}  // namespace

TEST_CASE("the quota of a workspace applies to the requests of its callers", "[sidecar]") {
  quota_mesh test;

  SECTION("requests below it run") {
    // Failure guarded against: requests refused because their daemon holds no tokens yet.
    for (int i = 0; i < 20; ++i) {
      test.call(1);
      test.mesh.run_for(std::chrono::milliseconds(80), [] { return false; });
    }
    CHECK(test.count(status_ok) == 20);
  }
  SECTION("requests beyond it are refused, with the time after which to repeat them") {
    // Failure guarded against: requests beyond the quota that reach a target.
    test.call(60);
    CHECK(test.count(status_ok) >= 10);
    CHECK(test.count(status_ok) <= 30);
    CHECK(test.count(status_ok) + test.count(status_too_many_requests) == 60);
    CHECK(static_cast<int>(test.upstream.received.size()) == test.count(status_ok));
    const auto refused = std::find_if(
        test.responses.begin(), test.responses.end(),
        [](const http_response& each) { return each.status == status_too_many_requests; });
    REQUIRE(refused != test.responses.end());
    CHECK(std::stod(header_value(refused->headers, "Retry-After")) > 0);
  }
  SECTION("of a workspace whose daemons have no coordinator that responds") {
    // Failure guarded against: a daemon that is alone and refuses all requests.
    test.upstream.daemon = nullptr;
    test.mesh.run_for(std::chrono::seconds(4), [] { return false; });
    test.call(4);
    CHECK(test.count(status_too_many_requests) == 0);
  }
}

}  // namespace crocusdoor

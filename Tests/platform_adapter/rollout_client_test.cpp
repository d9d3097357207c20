#include "platform/rollout_client.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <vector>

#include "transport/http_server.h"

namespace crocusdoor::platform {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t store_port = 23'902;

const std::string order_text =
    R"({"metadata":{"name":"s","revision":412,"created":9},)"
    R"("spec":{"service":"s","targetVersion":"v2","durationS":12},"status":null})";

}  // namespace

TEST_CASE("orders are read, and objects of other writers are passed over") {
  const rollout_listing listing = decode_orders(
      R"({"items":[{"metadata":{"name":"x","revision":3},"spec":{"service":7}},)" + order_text +
      R"(,{"metadata":{"name":"y","revision":4},)"
      R"("spec":{"service":"y","targetVersion":"v2","durationS":-1}},5],)"
      R"("truncated":false,"storeRevision":500})");
  CHECK(listing.outcome == store_outcome::done);
  CHECK(listing.revision == 500);
  CHECK(listing.unreadable_orders == 3);
  REQUIRE(listing.orders.size() == 1);
  CHECK(listing.orders.front() ==
        rollout_order{"s", service_name("s"), "v2", 12s, 412, std::nullopt});
}

TEST_CASE("a watch returns changed orders with their status, without deleted ones") {
  const rollout_listing listing = decode_order_events(
      R"({"events":[{"deleted":true,"object":)" + order_text +
      R"(},{"deleted":false,"object":{"metadata":{"name":"s","revision":413},)"
      R"("spec":{"service":"s","targetVersion":"v2","durationS":0.5},)"
      R"("status":{"state":"rolled_back","targetVersion":"v2"}}}],"storeRevision":413})");
  REQUIRE(listing.orders.size() == 1);
  CHECK(listing.orders.front().span == 500ms);
  CHECK(listing.orders.front().status == rollout_status{wire::rollout_phase::rolled_back, "v2"});
}

TEST_CASE("a status is written for the revision that was read") {
  event_loop loop;
  std::vector<http_request> received;
  int status = 200;
  http_server store(loop, {"127.0.0.1", store_port},
                    [&](const std::shared_ptr<http_exchange>& exchange) {
                      received.push_back(exchange->request());
                      exchange->respond({status, {}, R"({"metadata":{"revision":414}})"});
                    });
  rollout_client client(loop, {"127.0.0.1", store_port});
  rollout_write_result result;
  const auto write = [&] {
    client.write_status({"s/1", service_name("s"), 413, {wire::rollout_phase::completed, "v2"}},
                        [&](const rollout_write_result& ended) {
                          result = ended;
                          loop.stop();
                        });
    loop.run();
  };

  SECTION("and its new revision is returned") {
    write();
    CHECK(result.outcome == store_outcome::done);
    CHECK(result.revision == 414);
    REQUIRE(received.size() == 1);
    CHECK(received.front().method == "PUT");
    CHECK(received.front().target == "/objects/rollouts/s%2F1/status");
    const json body = json::parse(received.front().body);
    CHECK(body["metadata"]["revision"] == 413);
    CHECK(body["status"] == json{{"state", "completed"}, {"targetVersion", "v2"}});
  }
  SECTION("and a write of another daemon in between is a conflict") {
    status = 409;
    write();
    CHECK(result.outcome == store_outcome::conflict);
  }
}

}  // namespace crocusdoor::platform

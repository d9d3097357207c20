#include "stand_ins/target_server.h"

#include <catch2/catch.hpp>

#include "core/digest.h"
#include "loop_client.h"

namespace crocusdoor::stand_ins {

namespace {

target_options options_with(std::chrono::milliseconds service_time, std::int32_t slots) {
  target_options options;
  options.name = "t1";
  options.slots = slots;
  options.service_time = service_time;
  return options;
}

bool refused_as_not_run(const http_result& result, int status) {
  const auto found = result.response.headers.find("X-Not-Run");
  return result.response.status == status && found != result.response.headers.end() &&
         found->second == "true";
}

}  // namespace

TEST_CASE("a target echoes each request and counts its executions", "[P6]") {
  event_loop loop;
  target_server server(loop, {"127.0.0.1", 0}, options_with({}, 1));
  loop_client client(loop, server.port());
  const http_result first =
      client.send("POST", "/payouts/7?x=1", {{"Idempotency-Key", "k"}}, "body");
  const json echo = json::parse(first.response.body);
  CHECK(echo["method"] == "POST");
  CHECK(echo["path"] == "/payouts/7?x=1");
  CHECK(echo["body_digest"] == digest_of("body").str());
  CHECK(echo["execution"] == 1);
  client.send("POST", "/payouts/7", {{"Idempotency-Key", "k"}}, "body");
  CHECK(server.executions("k") == 2);
  CHECK(client.send("GET", "/control/executions").response.body == R"({"k":2})");

  SECTION("a request after its deadline is refused and not executed") {
    CHECK(refused_as_not_run(client.send("GET", "/a", {{"X-Request-Deadline-Ms", "1"}}), 504));
    CHECK(server.counts().executed == 2);
  }
  SECTION("a request that crashes targets is counted before the crash") {
    bool crashed = false;
    target_options options = options_with({}, 1);
    options.on_crash = [&] { crashed = true; };
    target_server fragile(loop, {"127.0.0.1", 0}, options);
    loop_client caller(loop, fragile.port());
    caller.send("POST", "/x", {{"Idempotency-Key", "c"}}, "a crash-me b");
    CHECK(crashed);
    CHECK(fragile.executions("c") == 1);
  }
}

TEST_CASE("a target refuses requests above its slots and detects closed connections", "[F9]") {
  event_loop loop;
  target_server server(loop, {"127.0.0.1", 0}, options_with(std::chrono::hours(1), 1));
  loop_client client(loop, server.port());
  const http_call call =
      client.start("POST", "/x", {{"Idempotency-Key", "k"}}, "", [](const http_result&) {});
  REQUIRE(client.run_until([&] { return server.counts().executed == 1; }));
  CHECK(refused_as_not_run(client.send("POST", "/y", {{"Idempotency-Key", "other"}}), 503));
  CHECK(server.executions("other") == 0);
  CHECK(json::parse(client.send("GET", "/load").response.body)["slots_in_use"] == 1);

  SECTION("a closed connection cancels the execution and frees its slot") {
    client.cancel(call);
    REQUIRE(client.run_until([&] { return server.counts().cancelled == 1; }));
    CHECK(json::parse(client.send("GET", "/load").response.body)["slots_in_use"] == 0);
  }
  SECTION("the load report is delayed or wrong on request") {
    static_cast<void>(server.control(R"({"load_lag_ms": 3600000})").value());
    CHECK(json::parse(client.send("GET", "/load").response.body)["slots_in_use"] == 0);
    static_cast<void>(server.control(R"({"load_lie": 9})").value());
    CHECK(json::parse(client.send("GET", "/load").response.body)["slots_in_use"] == 9);
  }
  SECTION("a frozen target accepts requests and sends no response") {
    static_cast<void>(server.control(R"({"freeze_ms": 3600000})").value());
    bool answered = false;
    client.start("GET", "/health", {}, "", [&](const http_result&) { answered = true; });
    CHECK(client.run_until([&] { return server.counts().frozen == 1; }));
    CHECK_FALSE(answered);
  }
}

TEST_CASE("a target is unhealthy during a cold start or on request", "[F9]") {
  event_loop loop;
  target_options options = options_with({}, 1);
  options.cold_start = std::chrono::hours(1);
  target_server cold(loop, {"127.0.0.1", 0}, options);
  CHECK(loop_client(loop, cold.port()).send("GET", "/health").response.status == 503);
  target_server warm(loop, {"127.0.0.1", 0}, options_with({}, 1));
  loop_client client(loop, warm.port());
  CHECK(client.send("GET", "/health").response.status == 200);
  static_cast<void>(warm.control(R"({"unhealthy_ms": 3600000})").value());
  CHECK(client.send("GET", "/health").response.status == 503);
}

}  // namespace crocusdoor::stand_ins

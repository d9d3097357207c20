#include "stand_ins/caller.h"

#include <catch2/catch.hpp>

#include "core/digest.h"
#include "loop_client.h"
#include "stand_ins/target_server.h"

namespace crocusdoor::stand_ins {

namespace {

struct classification_case {
  http_result received;
  call_result expected = call_result::answered;
};

http_result answered_with(int status, const http_headers& headers, const std::string& body = "") {
  return {http_outcome::answered, {status, headers, body}};
}

caller_statistics run(event_loop& loop, caller_plan plan) {
  caller_statistics result;
  caller sender(loop, std::move(plan), [&](const caller_statistics& statistics) {
    result = statistics;
    loop.stop();
  });
  sender.start();
  loop.run();
  return result;
}

}  // namespace

TEST_CASE("a caller classifies responses by echo, status and verdict", "[P4][P5]") {
  const prepared_request sent = prepare({1, "POST", "/p/{n}", "b{n}", {}, "k-{n}"}, 7);
  json echo = {{"method", "POST"},
               {"path", "/p/7"},
               {"body_digest", digest_of("b7").str()},
               {"idempotency_key", "k-7"}};
  const std::string matching_echo = echo.dump();
  echo["path"] = "/p/8";
  const classification_case cases[] = {
      {answered_with(200, {}, matching_echo), call_result::answered},
      {answered_with(200, {}, echo.dump()), call_result::wrong_answer},
      {answered_with(200, {}, matching_echo.substr(0, matching_echo.size() - 1)),
       call_result::wrong_answer},
      {answered_with(404, {}), call_result::rejected},
      {answered_with(503, {}), call_result::rejected},
      {answered_with(503, {{"X-Not-Run", "true"}}), call_result::not_run},
      {answered_with(503, {{"X-Crocusdoor-Verdict", "not_run"}}), call_result::not_run},
      {answered_with(504, {{"X-Crocusdoor-Verdict", "may_have_run"}}), call_result::may_have_run},
      {{http_outcome::not_sent, {}}, call_result::not_run},
      {{http_outcome::interrupted, {}}, call_result::may_have_run},
      {{http_outcome::timed_out, {}}, call_result::may_have_run},
  };
  for (const classification_case& test_case : cases) {
    CHECK(classify(sent, test_case.received) == test_case.expected);
  }
}

TEST_CASE("a caller counts the result of every request of its plan") {
  event_loop loop;
  target_options options;
  options.slots = 4;
  target_server server(loop, {"127.0.0.1", 0}, options);
  caller_plan plan;
  plan.daemons = {{"127.0.0.1", server.port()}};
  plan.requests = 50;
  plan.concurrency = 4;
  plan.mix = {{1, "POST", "/p/{n}", "", {}, "k-{n}"}, {3, "GET", "/s/{n}", "", {}, ""}};

  SECTION("all are answered") {
    const caller_statistics statistics = run(loop, plan);
    CHECK(statistics.sent == 50);
    CHECK(statistics.results.at(call_result::answered) == 50);
    CHECK(statistics.latencies.size() == 50);
    CHECK(server.counts().executed == 50);
  }
  SECTION("with send_twice, a target without a daemon gets each request twice") {
    plan.send_twice = true;
    plan.mix.resize(1);
    const caller_statistics statistics = run(loop, plan);
    CHECK(statistics.attempts == 100);
    CHECK(server.executions("k-50") == 2);
  }
  SECTION("requests to an unreachable daemon count as not run after all attempts") {
    plan.daemons = {{"127.0.0.1", 1}};
    plan.requests = 2;
    plan.attempts = 3;
    plan.resend_on = {call_result::not_run};
    const caller_statistics statistics = run(loop, plan);
    CHECK(statistics.attempts == 6);
    CHECK(statistics.results.at(call_result::not_run) == 2);
    CHECK(to_json(statistics)["not_run"] == 2);
  }
}

}  // namespace crocusdoor::stand_ins

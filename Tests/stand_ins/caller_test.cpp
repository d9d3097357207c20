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

http_result answer(int status, const http_headers& headers, const std::string& body = "") {
  return {http_outcome::answered, {status, headers, body}};
}

caller_account run(event_loop& loop, caller_plan plan) {
  caller_account result;
  caller sender(loop, std::move(plan), [&](const caller_account& account) {
    result = account;
    loop.stop();
  });
  sender.start();
  loop.run();
  return result;
}

}  // namespace

TEST_CASE("a caller tells its own answer from others and from refusals", "[P4][P5]") {
  const prepared_request sent = prepare({1, "POST", "/p/{n}", "b{n}", {}, "k-{n}"}, 7);
  json echo = {{"method", "POST"},
               {"path", "/p/7"},
               {"body_digest", digest_of("b7").str()},
               {"idempotency_key", "k-7"}};
  const std::string right = echo.dump();
  echo["path"] = "/p/8";
  const classification_case cases[] = {
      {answer(200, {}, right), call_result::answered},
      {answer(200, {}, echo.dump()), call_result::wrong_answer},
      {answer(200, {}, right.substr(0, right.size() - 1)), call_result::wrong_answer},
      {answer(404, {}), call_result::rejected},
      {answer(503, {}), call_result::rejected},
      {answer(503, {{"X-Not-Run", "true"}}), call_result::not_run},
      {answer(503, {{"X-Crocusdoor-Verdict", "not_run"}}), call_result::not_run},
      {answer(504, {{"X-Crocusdoor-Verdict", "may_have_run"}}), call_result::may_have_run},
      {{http_outcome::not_sent, {}}, call_result::not_run},
      {{http_outcome::interrupted, {}}, call_result::may_have_run},
      {{http_outcome::timed_out, {}}, call_result::may_have_run},
  };
  for (const classification_case& one : cases) {
    CHECK(classify(sent, one.received) == one.expected);
  }
}

TEST_CASE("a caller accounts for every request of its plan") {
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
    const caller_account account = run(loop, plan);
    CHECK(account.sent == 50);
    CHECK(account.results.at(call_result::answered) == 50);
    CHECK(account.latencies.size() == 50);
    CHECK(server.counts().executed == 50);
  }
  SECTION("a request sent twice reaches a bare target twice") {
    plan.send_twice = true;
    plan.mix.resize(1);
    const caller_account account = run(loop, plan);
    CHECK(account.attempts == 100);
    CHECK(server.executions("k-50") == 2);
  }
  SECTION("a daemon that cannot be reached has not run anything, after all attempts") {
    plan.daemons = {{"127.0.0.1", 1}};
    plan.requests = 2;
    plan.attempts = 3;
    plan.resend_on = {call_result::not_run};
    const caller_account account = run(loop, plan);
    CHECK(account.attempts == 6);
    CHECK(account.results.at(call_result::not_run) == 2);
    CHECK(to_json(account)["not_run"] == 2);
  }
}

}  // namespace crocusdoor::stand_ins

#include <catch2/catch.hpp>
#include <cstdio>

#include "command_fixture.h"
#include "configuration/plan.h"
#include "invalid_status_lines.h"
#include "scripted_server.h"

namespace crocusdoor::command_line {

namespace {

const std::vector<std::string> put_service = {
    "plan", "--put-service", "statements",     "--slots",      "12",  "--operator",
    "anna", "--reason",      "ordinary reads", "--decided-on", "2011"};

/// The plan that a daemon makes for the intents of a request, with two live instances.
json plan_for(const std::string& intents) {
  const intent_document document = parse_intents(intents).value();
  return encode_value(make_plan({}, document, "plan-1",
                                {{instance_name("s1"), failure_domain("a")},
                                 {instance_name("s2"), failure_domain("b")}})
                          .value());
}

std::string sample_plan() {
  return plan_for(R"({"operator": "anna", "reason": "x", "intents": [{"put_service":
    {"name": "statements", "slots_per_upstream": 12, "decision":
     {"decided_by": "board", "decided_on": "2011", "reason": "ordinary reads"}}}]})")
      .dump();
}

struct exit_case {
  int status;
  std::string body;
  int expected;
};

}  // namespace

TEST_CASE_METHOD(command_fixture, "the response of the intent API decides the exit code", "[F12]") {
  const exit_case cases[] = {
      {200, R"({"version": 3, "in_force": true, "instances": []})", 0},
      {200, R"([1])", 0},
      {400, R"({"code": "malformed", "message": "no"})", 2},
      {404, R"({"code": "not_found", "message": "no"})", 1},
      {409, R"({"code": "conflict", "message": "no"})", 4},
      {500, R"({"code": "invalid", "message": "no"})", 1},
      {503, R"({"code": "unavailable", "message": "no"})", 1},
      {200, "<html>", 3},
  };
  for (const exit_case& test_case : cases) {
    responses["GET /v1/status"] = {test_case.status, {}, test_case.body};
    INFO(test_case.status << " " << test_case.body);
    CHECK(run({"status"}) == test_case.expected);
    CHECK(err.empty() == (test_case.expected == 0));
    CHECK(run({"status", "--json"}) == test_case.expected);
  }

  SECTION("an API that cannot be reached gives exit code 3") {
    CHECK(run_without_api_option({"status", "--api", "127.0.0.1:1"}) == 3);
    CHECK_THAT(err, Catch::Contains("no answer from the intent API at 127.0.0.1:1: not_sent"));
  }
}

TEST_CASE_METHOD(command_fixture, "a plan is shown and saved, and nothing is confirmed", "[P10]") {
  SECTION("from options") {
    CHECK(run(put_service) == 1);  // 404: the fixture has no response for this request yet
    REQUIRE(requests.size() == 1);
    set_response("POST /v1/plans", 200, plan_for(requests[0].body));
    const std::string file = "plan-of-api-commands-test.json";
    std::vector<std::string> arguments = put_service;
    arguments.insert(arguments.end(), {"--out", file});
    CHECK(run(arguments) == 0);
    CHECK_THAT(out, Catch::Contains("+ service statements"));
    CHECK_THAT(out, Catch::Contains("slots_per_upstream: 12"));
    CHECK_THAT(out, Catch::Contains("Reaches 2 instances: a 1, b 1."));
    CHECK(requests.back().target == "/v1/plans");

    set_response("POST /v1/confirmations", 200, {{"version", 1}, {"already_confirmed", false}});
    CHECK(run({"confirm", file}) == 0);
    CHECK(out == "Confirmed as version 1.\n");
    CHECK(parse_plan(requests.back().body).value().id == "plan-1");
    std::remove(file.c_str());
  }
  SECTION("problems that the API reports are printed with line, column and path") {
    set_response(
        "POST /v1/plans", 400,
        {{"code", "invalid"},
         {"message", "the intents are refused"},
         {"problems", {{{"path", "/intents/0"}, {"line", 3}, {"column", 5}, {"message", "no"}}}}});
    CHECK(run(put_service) == 2);
    CHECK(err == "the intents are refused\n  line 3, column 5, /intents/0: no\n");
  }
  SECTION("problems of the file itself are reported without calling the API") {
    CHECK(run({"plan", "-"}, R"({"operator": "anna", "intents": []})") == 2);
    CHECK_THAT(err, Catch::Contains("missing key \"reason\""));
    CHECK(requests.empty());
  }
}

TEST_CASE_METHOD(command_fixture, "a confirmation reports the outcome of the plan", "[P10][F5]") {
  const std::string plan_text = sample_plan();

  SECTION("a file that is not a plan is not sent") {
    CHECK(run({"confirm", "-"}, "{}") == 2);
    CHECK(requests.empty());
  }
  SECTION("already confirmed is success") {
    set_response("POST /v1/confirmations", 200, {{"version", 5}, {"already_confirmed", true}});
    CHECK(run({"confirm", "-"}, plan_text) == 0);
    CHECK(out == "Already confirmed as version 5.\n");
  }
  SECTION("a conflict lists what has changed since") {
    set_response(
        "POST /v1/confirmations", 409,
        {{"code", "conflict"},
         {"message", "the plan was made against version 4"},
         {"changed_since",
          {{{"version", 5}, {"operator", "bia"}, {"reason", "harvest"}, {"sentences", {"S."}}}}}});
    CHECK(run({"confirm", "-"}, plan_text) == 4);
    CHECK_THAT(err, Catch::Contains("version 5 by bia: harvest\n  S.\n"));
  }
  SECTION("waiting ends when the version is in force everywhere, and not before") {
    set_response("POST /v1/confirmations", 200, {{"version", 5}});
    set_response("GET /v1/status", 200, {{"version", 5}, {"in_force", true}});
    CHECK(run({"confirm", "-", "--wait"}, plan_text) == 0);
    CHECK_THAT(out, Catch::Contains("In force on every live instance."));

    set_response("GET /v1/status", 200, {{"version", 4}, {"in_force", true}});
    CHECK(run({"confirm", "-", "--wait", "--wait-ms", "1"}, plan_text) == 1);
    CHECK_THAT(err, Catch::Contains("confirmed but not in force everywhere"));
    set_response("GET /v1/status", 200, {{"version", 5}, {"in_force", false}});
    CHECK(run({"confirm", "-", "--wait", "--wait-ms", "1"}, plan_text) == 1);
  }
  SECTION("a truncated response is reported as an unknown outcome") {
    responses["POST /v1/confirmations"] = {200, {}, "{\"version\":"};
    CHECK(run({"confirm", "-"}, plan_text) == 3);
    CHECK_THAT(err, Catch::Contains("It is not known whether the plan was confirmed."));
  }
}

TEST_CASE_METHOD(command_fixture,
                 "the other commands send their arguments and print the response") {
  set_response(
      "GET /v1/decisions", 200,
      {{"decisions",
        {{{"what", "action"},
          {"name", "payout"},
          {"standing",
           {{"decided_by", "board meeting"}, {"decided_on", "2011"}, {"reason", "paid once"}}},
          {"changes",
           {{{"version", 2},
             {"confirmed_at_ms", 1'300'000'000'123},
             {"change", "added"},
             {"operator", "anna"},
             {"reason", "start"}}}}}}}});
  CHECK(run({"decisions", "payout"}) == 0);
  CHECK(out ==
        "action payout\n  decided by board meeting, 2011: paid once\n"
        "  version 2, 2011-03-13 07:06:40.123Z, added by anna: start\n");
  CHECK(run({"decisions", "other"}) == 1);

  set_response(
      "GET /v1/status", 200,
      {{"version", 7},
       {"in_force", false},
       {"platform", "down"},
       {"instance", "s1"},
       {"instances",
        {{{"name", "s2"}, {"domain", "a"}, {"version", 6}, {"lag_reason", "link lost"}}}}});
  CHECK(run({"status"}) == 0);
  CHECK_THAT(out, Catch::Contains("Version 7 is not in force") && Catch::Contains("link lost"));

  set_response("GET /v1/operations?action=payout&key=a%2Fb%20c", 200,
               {{"operations",
                 {{{"action", "payout"},
                   {"key", "a/b c"},
                   {"progress", "claimed"},
                   {"in_doubt", true},
                   {"expires_at_ms", 0}}}},
                {"instances_without_answer", {"s3"}}});
  CHECK(run({"operations", "--action", "payout", "--key", "a/b c"}) == 0);
  CHECK(out == "payout a/b c: claimed, in doubt\n  expires_at_ms: 1970-01-01 00:00:00.000Z\n");
  CHECK_THAT(err, Catch::Contains("instance s3 did not answer"));

  set_response("POST /v1/operations/resolve", 200, json::object());
  CHECK(run({"operations", "resolve", "--not-run", "--action", "payout", "--key", "k", "--note",
             "checked the ledger", "--operator", "anna"}) == 0);
  CHECK(json::parse(requests.back().body) ==
        json::parse(R"({"action": "payout", "key": "k", "outcome": "not_run",
                        "note": "checked the ledger", "operator": "anna"})"));

  set_response("POST /v1/suspicions/clear", 200, json::object());
  CHECK(run({"suspicions", "clear", "abc", "--operator", "bia"}) == 0);
  CHECK(requests.back().body == R"({"operator":"bia","request":"abc"})");

  set_response("POST /v1/drain", 200, json::object());
  CHECK(run({"drain", "s1"}) == 0);
  CHECK(requests.back().body == R"({"instance":"s1"})");
}

TEST_CASE("a response with an invalid status line is no answer of the intent API", "[F12]") {
  const std::string line =
      GENERATE(from_range(invalid_status_lines.begin(), invalid_status_lines.end()));
  INFO(line);
  event_loop loop;
  scripted_server server(loop, 0, [&](auto& connection, const std::string&) {
    connection.write(with_status_line(line));
  });
  api_client client(loop, {"127.0.0.1", server.port()}, std::chrono::milliseconds(500));
  const api_response response = client.call("GET", "/v1/status");
  CHECK(response.outcome == http_outcome::garbled);
  CHECK_FALSE(response.ok());
}

}  // namespace crocusdoor::command_line

#include "configuration/intent.h"

#include <catch2/catch.hpp>

#include "configuration_fixtures.h"

namespace crocusdoor {

TEST_CASE("an intent document is read with its comments", "[F12]") {
  const intent_document document = parse_intents(R"({
    // Decided by the board on Monday.
    "operator": "ines", "reason": "second version",
    "intents": [
      {"put_service": {"name": "advances", "slots_per_upstream": 12, "decision":
        {"decided_by": "board", "decided_on": "2026", "reason": "peak"}}},
      {"remove_route": "advances-v1"}]})")
                                       .value();
  CHECK(document.operator_name == "ines");
  CHECK(document.intents.at(0).put_service->slots_per_upstream == 12);
  CHECK(document.intents.at(1).remove_route == route_name("advances-v1"));
}

TEST_CASE("the refusal of an intent document names each fault with its position", "[P3][F12]") {
  struct refused_case {
    std::string text;
    error_code code;
    std::vector<std::string> lines;
  };
  const refused_case cases[] = {
      {"[]", error_code::malformed, {"line 1, column 1, /: expected an object, found array"}},
      {"{\"operator\": \"ines\",\n \"reasons\": 1, \"intents\": {}}",
       error_code::malformed,
       {"line 1, column 1, /: missing key \"reason\"",
        "line 2, column 27, /intents: expected an array, found object",
        "line 2, column 13, /reasons: unknown key; accepted keys: operator, reason, intents"}},
      {"{\"operator\": \"ines\", \"reason\": \"r\", \"intents\": [\n"
       "{\"put_route\": {\"name\": \"a\", \"path_prefix\": \"/a\", \"service\": \"s\",\n"
       "  \"priority\": \"urgent\", \"timeout_ms\": 0, \"decision\": {}}},\n"
       "{\"put_roue\": {}}]}",
       error_code::malformed,
       {"line 3, column 39, /intents/0/put_route/timeout_ms: value 0 is outside 1 to 3600000",
        "line 3, column 15, /intents/0/put_route/priority: unknown value \"urgent\"; accepted: "
        "interactive, bulk",
        "line 3, column 54, /intents/0/put_route/decision: missing key \"decided_by\"",
        "line 4, column 14, /intents/1/put_roue: unknown key; accepted keys: put_service"}},
      {"{\"operator\": \"\", \"reason\": \"r\", \"intents\": [\n"
       "{\"remove_route\": \"a b\"},\n{},\n{\"remove_service\": \"s\", \"remove_route\": \"a "
       "b\"}]}",
       error_code::invalid,
       {"line 1, column 14, /operator: a text of 1 to 64 bytes",
        "line 2, column 18, /intents/0/remove_route: a name has 1 to 128 letters",
        "line 3, column 1, /intents/1: exactly one of put_service, put_route",
        "line 4, column 41, /intents/2/remove_route: route \"a b\" is named by an earlier",
        "line 4, column 1, /intents/2: exactly one of"}},
      {R"({"operator": "i", "reason": "r", "intents": []})",
       error_code::invalid,
       {"/intents: at least one intent is expected"}},
      {R"({"operator": "i", "operator": "j", "reason": "r", "intents": []})",
       error_code::malformed,
       {"line 1, column 19, /operator: duplicate key"}},
  };
  for (const refused_case& test : cases) {
    INFO(test.text);
    const failure refused = failure_of([&] { return parse_intents(test.text); });
    CHECK(refused.code == test.code);
    for (const std::string& line : test.lines) {
      CHECK_THAT(refused.message, Catch::Contains(line));
    }
    CHECK(std::count(refused.message.begin(), refused.message.end(), '\n') <=
          static_cast<std::ptrdiff_t>(test.lines.size() + 2));
  }
}

TEST_CASE("a resource that breaks a rule for its kind is refused", "[P3][F12]") {
  struct rule_case {
    intent invalid;
    std::string expected;
  };
  run_once_action by_segment = make_action("a", "/a", "s");
  by_segment.key_in = key_location::path_segment;
  run_once_action by_header = make_action("a", "/a", "s");
  by_header.key_name = "two words";
  run_once_action by_field = make_action("a", "/a", "s");
  by_field.key_in = key_location::body_field;
  by_field.key_name = "";
  run_once_action method = make_action("a", "/a", "s");
  method.method = "post";
  const rule_case cases[] = {
      {{.put_route = make_route("a", "a", "s")}, "/put_route/path_prefix"},
      {{.put_route = make_route("a", "/a?b", "s")}, "/put_route/path_prefix"},
      {{.put_route = make_route("a", "/a", "")}, "/put_route/service"},
      {{.put_service = make_service("a", 10'001)}, "/put_service/slots_per_upstream: value 10001"},
      {{.put_action = by_segment}, "a path segment is given by its number"},
      {{.put_action = by_header}, "the name of an HTTP header"},
      {{.put_action = by_field}, "the idempotency key needs a name"},
      {{.put_action = method}, "/put_action/method"},
  };
  for (const rule_case& test : cases) {
    const std::vector<decode_problem> problems =
        validate(intent_document{"i", "r", {test.invalid}});
    REQUIRE(problems.size() == 1);
    CHECK_THAT(problems[0].path + ": " + problems[0].message, Catch::Contains(test.expected));
  }
}

}  // namespace crocusdoor

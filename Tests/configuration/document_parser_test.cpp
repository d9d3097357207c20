#include "configuration/document_parser.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

namespace {

/// Message of the failure, or an empty text for a document that parses.
std::string fault_of(std::string_view text) {
  std::string message;
  handle_failure(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(parse_document(text));
        return {};
      },
      [&](const failure& error) { message = error.message; });
  return message;
}

}  // namespace

TEST_CASE("a parsed document with comments has the position of each value", "[F12]") {
  const std::string text =
      "{ // operators write comments\n"
      "  \"é\": 12/* no space */, \"list\": [1, true ,\n"
      "    {\"a/b\": \"x\\\"\\u00e9,:\"}, null], /* and here */\n"
      "  \"last\": -1.5e3}\n";
  const parsed_document document = parse_document(text).value();

  SECTION("comments do not change the values") {
    CHECK(document.value ==
          json::parse(R"({"é": 12, "list": [1, true, {"a/b": "x\"é,:"}, null], "last": -1500.0})"));
  }

  SECTION("columns count code points, not bytes") {
    CHECK(document.position_of("") == text_position{1, 1});
    CHECK(document.position_of("/é") == text_position{2, 8});
    CHECK(document.position_of("/list") == text_position{2, 34});
    CHECK(document.position_of("/list/1") == text_position{2, 38});
    CHECK(document.position_of("/list/2/a~1b") == text_position{3, 13});
    CHECK(document.position_of("/list/3") == text_position{3, 29});
    CHECK(document.position_of("/last") == text_position{4, 11});
  }

  SECTION("the position of a missing value is that of the enclosing object") {
    CHECK(document.position_of("/list/2/name") == document.position_of("/list/2"));
    CHECK(describe_problems(document, {{"/list/2", "missing key \"name\""}}) ==
          "line 3, column 5, /list/2: missing key \"name\"");
  }
}

TEST_CASE("a malformed document is refused with the position of each fault", "[F12]") {
  struct malformed_case {
    std::string text;
    std::string expected;
  };
  const std::string deep(document_depth_limit + 1, '[');
  const malformed_case cases[] = {
      {"", "line 1, column 1, /: syntax error"},
      {"{\"a\": 1,\n \"a\": 2, \"b\": {\"c\": 1, \"c\": 2}}",
       "line 2, column 2, /a: duplicate key \"a\"; each key is accepted once\n"
       "line 2, column 24, /b/c: duplicate key"},
      {"{\"a\": 1,\n \"a\": 2,}", "line 2, column 9, /: syntax error"},
      {"{\"a\": [1 2]}", "line 1, column 10, /a: syntax error"},
      {"{} x", "line 1, column 4, /: syntax error"},
      {"\"\xC3(\"", "line 1, column 3, /: syntax error"},
      {deep, "nested too deeply; 64 levels are accepted"},
      {std::string(document_size_limit_bytes + 1, ' '), "bytes; 1000000 are accepted"},
  };
  for (const malformed_case& test : cases) {
    CHECK_THAT(fault_of(test.text), Catch::Contains(test.expected));
  }
}

}  // namespace crocusdoor

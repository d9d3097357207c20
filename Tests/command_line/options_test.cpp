#include "command_line/options.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

namespace {

const std::vector<option_description> accepted = {{"port", "N", "port"}, {"json", "", "print"}};

struct option_fault {
  std::vector<std::string> arguments;
  std::string expected;
};

}  // namespace

TEST_CASE("a command line is parsed into values and arguments", "[F12]") {
  parsed_options options = parse_options(accepted, {"a", "--port=1", "--json", "b", "--port", "7"});
  CHECK(options.problems.empty());
  CHECK(options.arguments == std::vector<std::string>{"a", "b"});
  CHECK(options.number("port", 0, 0, 10) == 7);
  CHECK(options.has("json"));
  CHECK(parse_options(accepted, {"a", "--port", "1"}, option_order::before_arguments).arguments ==
        std::vector<std::string>{"a", "--port", "1"});
  CHECK(parse_options(accepted, {"--", "--json"}).arguments == std::vector<std::string>{"--json"});
}

TEST_CASE("problems of a command line are reported", "[F12]") {
  const option_fault faults[] = {
      {{"--prot", "1"}, "unknown option or unexpected value: --prot"},
      {{"--json=1"}, "unknown option or unexpected value: --json=1"},
      {{"-x"}, "unknown option or unexpected value: -x"},
      {{"--port"}, "--port needs a value"},
      {{"--port", "x"}, "--port: expected a whole number from 0 to 10, found \"x\""},
      {{"--port", "11"}, "--port: expected a whole number from 0 to 10, found \"11\""},
      {{"--port", "1x"}, "--port: expected a whole number from 0 to 10, found \"1x\""},
      {{"--port", ""}, "--port: expected a whole number from 0 to 10, found \"\""},
  };
  for (const option_fault& fault : faults) {
    parsed_options options = parse_options(accepted, fault.arguments);
    static_cast<void>(options.number("port", 0, 0, 10));
    REQUIRE(options.problems.size() == 1);
    CHECK(options.problems.front() == fault.expected);
  }
}

}  // namespace crocusdoor

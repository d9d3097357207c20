#include <catch2/catch.hpp>

#include "command_fixture.h"
#include "daemon/settings.h"

namespace crocusdoor::command_line {

namespace {

struct usage_case {
  std::vector<std::string> arguments;
  std::string expected;  ///< Part of the message.
};

}  // namespace

TEST_CASE_METHOD(command_fixture, "a wrong command line ends with exit code 2", "[F12]") {
  const usage_case cases[] = {
      {{}, "Usage: crocusdoor COMMAND"},
      {{"frob"}, "unknown command \"frob\""},
      {{"status", "--frob"}, "unknown option or unexpected value: --frob"},
      {{"status", "--api", "nowhere"}, "--api: expected ADDRESS:PORT, found \"nowhere\""},
      {{"status", "--api", "127.0.0.1:0"}, "--api: expected ADDRESS:PORT"},
      {{"status", "--timeout-ms", "0"}, "--timeout-ms: expected a whole number from 1"},
      {{"status", "x"}, "status takes no arguments"},
      {{"plan"}, "expected one intent file"},
      {{"plan", "a", "--remove-route", "r"}, "not both"},
      {{"plan", "--remove-route", "r", "--reason", "x"}, "--operator is needed"},
      {{"plan", "/nonexistent/intent.json"}, "the file cannot be read"},
      {{"confirm"}, "expected one plan file"},
      {{"operations"}, "expected --action and --key, or --in-doubt"},
      {{"operations", "--action", "payout"}, "expected --action and --key, or --in-doubt"},
      {{"operations", "resolve", "--ran", "--not-run"}, "expected either --ran or --not-run"},
      {{"operations", "resolve", "--ran", "--action", "a", "--key", "k"}, "--note is needed"},
      {{"suspicions", "clear"}, "expected \"list\", or \"clear\""},
      {{"suspicions", "clear", "abc"}, "--operator is needed"},
      {{"drain"}, "expected the name of one instance"},
      {{"validate"}, "expected at least one file"},
      {{"validate", "-", "--intent", "--settings"}, "expected at most one of"},
  };
  for (const usage_case& test_case : cases) {
    INFO(Catch::Detail::stringify(test_case.arguments));
    CHECK(run_without_api_option(test_case.arguments) == 2);
    CHECK_THAT(err, Catch::Contains(test_case.expected));
    CHECK(out.empty());
  }
}

TEST_CASE_METHOD(command_fixture, "each command has a help text") {
  CHECK(run_without_api_option({"--help"}) == 0);
  for (const command& subcommand : all_commands()) {
    CHECK_THAT(out, Catch::Contains("  " + subcommand.name + " "));
  }
  for (const command& subcommand : all_commands()) {
    CHECK(run_without_api_option({subcommand.name, "--help"}) == 0);
    CHECK_THAT(out, Catch::StartsWith("Usage: crocusdoor " + subcommand.name));
    CHECK_THAT(out, Catch::Contains("--api ADDRESS:PORT"));
  }
}

TEST_CASE_METHOD(command_fixture, "files are validated without calling the API", "[F12]") {
  SECTION("valid settings") {
    CHECK(run_without_api_option({"validate", "-"}, default_settings_text()) == 0);
    CHECK(out == "-: valid settings\n");
  }
  SECTION("problems of an intent are reported with line, column and path, also as JSON") {
    const std::string text =
        "{\"operator\": \"anna\", \"reason\": \"x\",\n \"intents\": [{}], \"a\": 1}";
    CHECK(run_without_api_option({"validate", "-"}, text) == 2);
    CHECK_THAT(err, Catch::Contains("line 2, column 24, /a: unknown key"));
    CHECK(run_without_api_option({"validate", "-", "--json"}, text) == 2);
    const json report = json::parse(out);
    CHECK(report["problems"][0]["line"] == 2);
    CHECK(report["problems"][0]["path"] == "/a");
  }
  SECTION("--intent validates a settings file as an intent") {
    CHECK(run_without_api_option({"validate", "-", "--intent"}, default_settings_text()) == 2);
  }
}

}  // namespace crocusdoor::command_line

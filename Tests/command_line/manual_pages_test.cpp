#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <regex>

#include "command_fixture.h"

namespace crocusdoor::command_line {

namespace {

/// Text of a manual page, with each escaped hyphen (`\-`) replaced by a plain one.
std::string manual_page(const std::string& name) {
  std::ifstream file(std::string(CROCUSDOOR_MANUAL) + "/" + name + ".1");
  const std::string text(std::istreambuf_iterator<char>(file), {});
  return std::regex_replace(text, std::regex(R"(\\-)"), "-");
}

}  // namespace

TEST_CASE("the manual pages describe every command and option", "[manual]") {
  const std::string overview = manual_page("crocusdoor");
  for (const command& subcommand : all_commands()) {
    INFO(subcommand.name);
    const std::string page = manual_page("crocusdoor-" + subcommand.name);
    CHECK_THAT(overview, Catch::Contains("crocusdoor-" + subcommand.name));
    for (const char* section : {".SH NAME", ".SH SYNOPSIS", ".SH DESCRIPTION", ".SH EXIT STATUS"}) {
      CHECK_THAT(page, Catch::Contains(section));
    }
    for (const auto& options : {subcommand.options, common_options()}) {
      for (const option_description& option : options) {
        CHECK_THAT(page, Catch::Contains("--" + option.name));
      }
    }
  }
}

}  // namespace crocusdoor::command_line

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <regex>

#include "command_fixture.h"

namespace crocusdoor::command_line {

namespace {

/// Text of a manual page without the escapes of hyphens.
std::string manual_page(const std::string& name) {
  std::ifstream file(std::string(CROCUSDOOR_MANUAL) + "/" + name + ".1");
  const std::string text(std::istreambuf_iterator<char>(file), {});
  return std::regex_replace(text, std::regex(R"(\\-)"), "-");
}

}  // namespace

TEST_CASE("every command and option has its place in the manual", "[manual]") {
  const std::string overview = manual_page("crocusdoor");
  for (const command& one : all_commands()) {
    INFO(one.name);
    const std::string page = manual_page("crocusdoor-" + one.name);
    CHECK_THAT(overview, Catch::Contains("crocusdoor-" + one.name));
    for (const char* section : {".SH NAME", ".SH SYNOPSIS", ".SH DESCRIPTION", ".SH EXIT STATUS"}) {
      CHECK_THAT(page, Catch::Contains(section));
    }
    for (const auto& options : {one.options, common_options()}) {
      for (const option_description& described : options) {
        CHECK_THAT(page, Catch::Contains("--" + described.name));
      }
    }
  }
}

}  // namespace crocusdoor::command_line

#include "core/trace_context.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

TEST_CASE("a trace is continued across a hop, and an invalid traceparent is ignored", "[F12]") {
  random_source random(1);
  const std::string received = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

  SECTION("a valid header becomes the parent") {
    const auto parent = parse_traceparent(received);
    REQUIRE(parent.has_value());
    CHECK(format_traceparent(*parent) == received);
    const trace_context child = start_span_context(parent, random);
    CHECK(child.trace_id == parent->trace_id);
    CHECK(child.span_id != parent->span_id);
  }

  SECTION("invalid headers are ignored") {
    for (const char* invalid_header :
         {"", "00-", "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
          "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
          "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
          "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01"}) {
      CAPTURE(invalid_header);
      CHECK_FALSE(parse_traceparent(invalid_header).has_value());
    }
  }
}

}  // namespace crocusdoor

#include "core/trace_context.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

TEST_CASE("a trace continues over a hop, and a bad traceparent starts a new one", "[F12]") {
  random_source random(1);
  const std::string received = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

  SECTION("a valid header is kept as parent") {
    const auto parent = parse_traceparent(received);
    REQUIRE(parent.has_value());
    CHECK(format_traceparent(*parent) == received);
    const trace_context child = start_span_context(parent, random);
    CHECK(child.trace_id == parent->trace_id);
    CHECK(child.span_id != parent->span_id);
  }

  SECTION("headers that are not valid are ignored") {
    for (const char* bad : {"", "00-", "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
                            "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
                            "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
                            "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01"}) {
      CAPTURE(bad);
      CHECK_FALSE(parse_traceparent(bad).has_value());
    }
  }
}

}  // namespace crocusdoor

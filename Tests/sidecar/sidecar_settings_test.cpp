#include "sidecar/sidecar_settings.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

namespace {

const std::string valid_settings = R"(// one sidecar
{
  "instance": { "name": "one", "domain": "a", "region": "r" },
  "listen": {
    "callers": "10.0.0.1:8629", "readiness": "10.0.0.1:8625", "registration": "10.0.0.1:8620",
    "peers": "10.0.0.1:7600", "metrics": { "address": "10.0.0.1", "port": 9464 }
  },
  "target": { "endpoint": "10.0.0.1:8628", "service": "s" },
  "store": "10.0.0.7:8627",
  "bounds": { "drain_ms": 2000, "stop_s": 6, "retry_ratio": 0.2, "retry_slack": 62 }
})";

/// Returns the settings, or a description of the problem with them.
std::pair<sidecar_settings, std::string> parse(const std::string& text) {
  std::string problem;
  const sidecar_settings settings = handle_failure([&] { return parse_sidecar_settings(text); },
                                                   [&](const failure& error) {
                                                     problem = error.message;
                                                     return sidecar_settings();
                                                   });
  return {settings, problem};
}

std::string problem_with(const std::string& from, const std::string& to) {
  std::string text = valid_settings;
  return parse(text.replace(text.find(from), from.size(), to)).second;
}

}  // namespace

TEST_CASE("sidecar settings accept an endpoint as one text or as address and port", "[sidecar]") {
  const auto [settings, problem] = parse(valid_settings);
  REQUIRE(problem.empty());
  CHECK(settings.listen.callers == ip_endpoint{"10.0.0.1", 8629});
  CHECK(settings.listen.metrics == ip_endpoint{"10.0.0.1", 9464});
  CHECK(settings.bounds.retry_slack == 62);
}

TEST_CASE("invalid settings are refused with the path and the accepted values", "[sidecar]") {
  CHECK_THAT(problem_with("10.0.0.1:8629", "10.0.0.1"), Catch::Contains("/listen/callers"));
  CHECK_THAT(problem_with("10.0.0.1:8629", "10.0.0.1:0"), Catch::Contains("address:port"));
  CHECK_THAT(problem_with("10.0.0.1:8629", "10.0.0.1:99999"), Catch::Contains("address:port"));
  CHECK_THAT(problem_with("\"store\"", "\"stroe\""), Catch::Contains("stroe"));
  CHECK_THAT(problem_with("\"stop_s\": 6", "\"stop_s\": 0"), Catch::Contains("/bounds/stop_s"));
  CHECK_THAT(problem_with("\"one\"", "\"\""), Catch::Contains("/instance/name"));
}

}  // namespace crocusdoor

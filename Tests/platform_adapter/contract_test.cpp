#include "platform/contract.h"

#include <catch2/catch.hpp>

#include "platform/configuration_reader.h"

namespace crocusdoor::platform {

namespace {

template <typename T>
std::optional<T> value_of(const std::function<leaf::result<T>()>& action) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<T>> {
        BOOST_LEAF_AUTO(value, action());
        return std::optional<T>(std::move(value));
      },
      [] { return std::optional<T>(); });
}

std::optional<registration> registration_in(const std::string& method, const std::string& target,
                                            const std::string& body) {
  return value_of<registration>([&] { return decode_registration({method, target, {}, body}); });
}

const std::string heartbeat =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","capacity":12,)"
    R"("state":"ready","warmupLeftMs":250,"sequence":4,"born":1700000000000})";

std::string with(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_CASE("a heartbeat is read into the announcement of a target", "[platform]") {
  const auto said = registration_in("PUT", "/instances/i-1", heartbeat);
  REQUIRE(said.has_value());
  target_announcement expected;
  expected.id = "i-1";
  expected.born_ms = 1'700'000'000'000;
  expected.sequence = 4;
  expected.service = service_name("s");
  expected.address = "10.0.0.9:8080";
  expected.slots = 12;
  expected.warmup_left_ms = std::chrono::milliseconds(250);
  CHECK(std::get<target_announcement>(*said) == expected);

  SECTION("a target that drains says so") {
    const auto draining =
        registration_in("PUT", "/instances/i-1", with(heartbeat, "\"ready\"", "\"draining\""));
    REQUIRE(draining.has_value());
    CHECK(std::get<target_announcement>(*draining).draining);
  }
  SECTION("what another writer has sent names no target") {
    CHECK_FALSE(registration_in("PUT", "/instances/i-1", "\x01not json"));
    CHECK_FALSE(registration_in("PUT", "/instances/i-1", "[]"));
    CHECK_FALSE(registration_in("PUT", "/instances/", heartbeat));
    CHECK_FALSE(registration_in("PUT", "/other/i-1", heartbeat));
    CHECK_FALSE(registration_in("PUT", "/instances/i-1", with(heartbeat, "\"ready\"", "\"on\"")));
    CHECK_FALSE(registration_in("PUT", "/instances/i-1", with(heartbeat, "\"sequence\":4,", "")));
    CHECK_FALSE(registration_in("PUT", "/instances/i-1", with(heartbeat, "1700000000000", "1.5")));
    CHECK_FALSE(registration_in("PUT", "/instances/i-1",
                                with(heartbeat, "\"capacity\":12", "\"capacity\":0")));
  }
  SECTION("a target that goes names itself, and its start if it says so") {
    const auto gone = registration_in("DELETE", "/instances/i-1", "");
    REQUIRE(gone.has_value());
    CHECK(std::get<target_withdrawal>(*gone).id == "i-1");
    CHECK_FALSE(std::get<target_withdrawal>(*gone).born_ms.has_value());
    const auto dated = registration_in("DELETE", "/instances/i-1", R"({"born":17})");
    REQUIRE(dated.has_value());
    CHECK(std::get<target_withdrawal>(*dated).born_ms == 17U);
  }
}

TEST_CASE("a configuration is read whole or not at all", "[platform][P3]") {
  const std::string limits =
      R"("limits":{"maxHeaderBytes":1,"maxBodyBytes":2,"headerTimeoutMs":3,"idleTimeoutMs":4})";
  const std::string route =
      R"({"name":"r","host":"h","pathPrefix":"/p/","routeType":"unsafe","timeoutMs":1200,)"
      R"("targetLatencyMs":600,"priority":1,"service":"s","attempts":2})";
  const std::string split =
      R"({"name":"q","host":"h","pathPrefix":"/q/","routeType":"safe","timeoutMs":1000,)"
      R"("targetLatencyMs":500,"weightedBackends":[{"service":"s","weight":90},{"service":"t",)"
      R"("weight":10}]})";
  const std::string document = R"({"version":7,"routes":[)" + route + "," + split +
                               R"(],"services":[{"name":"s","healthPath":"/h"}],)" + limits + "}";
  const auto read = [](const std::string& text) {
    return value_of<mesh_configuration>([&] { return decode_configuration(text); });
  };
  const auto content = read(document);
  REQUIRE(content.has_value());
  CHECK(content->version == 7);
  REQUIRE(content->routes.size() == 2);
  CHECK_FALSE(content->routes[0].idempotent);
  CHECK(content->routes[0].attempts == 2);
  CHECK(content->routes[1].idempotent);
  CHECK(content->routes[1].services ==
        std::vector<weighted_service>{{service_name("s"), 90}, {service_name("t"), 10}});
  CHECK(content->limits.idle_timeout_ms == std::chrono::milliseconds(4));

  CHECK_FALSE(read(with(document, "\"unsafe\"", "\"other\"")));
  CHECK_FALSE(read(with(document, "\"service\":\"s\",", "")));
  CHECK_FALSE(read(with(document, "\"timeoutMs\":1200,", "")));
  CHECK_FALSE(read(document.substr(0, document.size() / 2)));
  CHECK_FALSE(read(with(document, "\"limits\"", "\"other\"")));
  CHECK_FALSE(read(with(document, "\"timeoutMs\":1200", "\"timeoutMs\":-1")));
  CHECK_FALSE(read(with(document, "\"weight\":90", "\"weight\":\"90\"")));
  CHECK_FALSE(read("[]"));
  CHECK_FALSE(read(""));

  SECTION("an answer of the store holds it with its revision") {
    const std::string object =
        R"({"metadata":{"name":"main","revision":31},"spec":)" + document + "}";
    const configuration_read_result reading = read_configuration_object(object);
    CHECK(reading.revision == 31);
    REQUIRE(reading.configuration.has_value());
    CHECK(*reading.configuration == *content);

    CHECK(read_configuration_object(with(object, "main", "other")).configuration.has_value() ==
          false);
    const configuration_read_result damaged =
        read_configuration_object(with(object, "\"unsafe\"", "\"other\""));
    CHECK(damaged.configuration.has_value() == false);
    CHECK(damaged.problem == "routes[0].routeType: unknown kind \"other\"");
    CHECK_FALSE(read_configuration_object("{").problem.empty());
  }
  SECTION("of several changes the latest that can be read counts") {
    const auto event = [&](const std::string& version, const std::string& name) {
      return R"({"deleted":false,"object":{"metadata":{"name":")" + name + R"("},"spec":)" +
             with(document, "\"version\":7", "\"version\":" + version) + "}}";
    };
    const std::string answer = R"({"storeRevision":40,"events":[)" + event("8", "main") + "," +
                               event("9", "main") + "," + event("10", "other") + "]}";
    const configuration_read_result reading = read_configuration_events(answer);
    CHECK(reading.revision == 40);
    REQUIRE(reading.configuration.has_value());
    CHECK(reading.configuration->version == 9);
    CHECK(read_configuration_events(R"({"storeRevision":41,"events":[]})").configuration ==
          std::nullopt);
  }
}

}  // namespace crocusdoor::platform

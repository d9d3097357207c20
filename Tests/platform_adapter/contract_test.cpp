#include "platform/contract.h"

#include <catch2/catch.hpp>

#include "platform/configuration_reader.h"

namespace crocusdoor::platform {

namespace {

template <typename T>
std::optional<T> value_or_nothing(const std::function<leaf::result<T>()>& action) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<T>> {
        BOOST_LEAF_AUTO(value, action());
        return std::optional<T>(std::move(value));
      },
      [] { return std::optional<T>(); });
}

std::optional<registration> decode_request(const std::string& method, const std::string& target,
                                           const std::string& body) {
  return value_or_nothing<registration>([&] {
    return decode_registration({method, target, {}, body});
  });
}

const std::string heartbeat =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","capacity":12,)"
    R"("state":"ready","warmupLeftMs":250,"sequence":4,"born":1700000000000})";

std::string with_replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_CASE("a heartbeat is decoded into the announcement of a target", "[platform]") {
  const auto announced = decode_request("PUT", "/instances/i-1", heartbeat);
  REQUIRE(announced.has_value());
  target_announcement expected;
  expected.id = "i-1";
  expected.born_ms = 1'700'000'000'000;
  expected.sequence = 4;
  expected.service = service_name("s");
  expected.address = "10.0.0.9:8080";
  expected.slots = 12;
  expected.warmup_left_ms = std::chrono::milliseconds(250);
  expected.version = "v1";
  CHECK(std::get<target_announcement>(*announced) == expected);

  SECTION("a draining target is announced as draining") {
    const auto draining = decode_request("PUT", "/instances/i-1",
                                         with_replaced(heartbeat, "\"ready\"", "\"draining\""));
    REQUIRE(draining.has_value());
    CHECK(std::get<target_announcement>(*draining).draining);
  }
  SECTION("a malformed registration request is refused") {
    CHECK_FALSE(decode_request("PUT", "/instances/i-1", "\x01not json"));
    CHECK_FALSE(decode_request("PUT", "/instances/i-1", "[]"));
    CHECK_FALSE(decode_request("PUT", "/instances/", heartbeat));
    CHECK_FALSE(decode_request("PUT", "/other/i-1", heartbeat));
    CHECK_FALSE(
        decode_request("PUT", "/instances/i-1", with_replaced(heartbeat, "\"ready\"", "\"on\"")));
    CHECK_FALSE(
        decode_request("PUT", "/instances/i-1", with_replaced(heartbeat, "\"sequence\":4,", "")));
    CHECK_FALSE(
        decode_request("PUT", "/instances/i-1", with_replaced(heartbeat, "1700000000000", "1.5")));
    CHECK_FALSE(decode_request("PUT", "/instances/i-1",
                               with_replaced(heartbeat, "\"capacity\":12", "\"capacity\":0")));
  }
  SECTION("a withdrawal has the id of the target, and its start time if the body contains it") {
    const auto withdrawal = decode_request("DELETE", "/instances/i-1", "");
    REQUIRE(withdrawal.has_value());
    CHECK(std::get<target_withdrawal>(*withdrawal).id == "i-1");
    CHECK_FALSE(std::get<target_withdrawal>(*withdrawal).born_ms.has_value());
    const auto withdrawal_with_start = decode_request("DELETE", "/instances/i-1", R"({"born":17})");
    REQUIRE(withdrawal_with_start.has_value());
    CHECK(std::get<target_withdrawal>(*withdrawal_with_start).born_ms == 17U);
  }
}

// One route of a kind that the reader did not know made the whole configuration unreadable, so no
// request was served.
TEST_CASE("a route of an unknown kind leaves the other routes usable", "[platform][P3]") {
  const auto route = [](const std::string& name, const std::string& kind) {
    return R"({"name":")" + name + R"(","host":"h","pathPrefix":"/)" + name +
           R"(/","routeType":")" + kind +
           R"(","timeoutMs":1000,"targetLatencyMs":500,"service":"s"})";
  };
  const std::string object = R"({"metadata":{"name":"main","revision":31},"spec":{"version":7,)"
                             R"("routes":[)" +
                             route("a", "safe") + "," + route("b", "unheard-of") + "," +
                             route("c", "unsafe") + "," + route("d", "download") +
                             R"(],"services":[{"name":"s"}],"limits":{"maxHeaderBytes":1,)"
                             R"("maxBodyBytes":2,"headerTimeoutMs":3,"idleTimeoutMs":4}}})";
  const configuration_read_result result = read_configuration_object(object);
  REQUIRE(result.configuration.has_value());
  const std::vector<mesh_route>& routes = result.configuration->routes;
  REQUIRE(routes.size() == 4);

  SECTION("the known kinds say which requests may be repeated") {
    CHECK(routes[0].idempotent);
    CHECK_FALSE(routes[2].idempotent);
    CHECK(routes[3].idempotent);
    CHECK(routes[3].large_responses);
  }
  SECTION("requests of the unknown kind run at most once, and the value is reported") {
    CHECK_FALSE(routes[1].idempotent);
    CHECK(result.problem.empty());
    CHECK(result.unknown_values ==
          std::vector<std::string>{"routes[1].routeType: unknown value \"unheard-of\""});
  }
}

TEST_CASE("workspaces and their keys and quotas are decoded", "[platform]") {
  const std::string document =
      R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","routeType":"safe",)"
      R"("timeoutMs":1200,"targetLatencyMs":600,"service":"s","public":true}],)"
      R"("services":[],"limits":{"maxHeaderBytes":1,"maxBodyBytes":2,"headerTimeoutMs":3,)"
      R"("idleTimeoutMs":4},"tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1,)"
      R"("ratePerS":637,"burst":12.5},{"name":"u","apiKeys":[]}]})";
  const auto content =
      value_or_nothing<mesh_configuration>([&] { return decode_configuration(document); });
  REQUIRE(content.has_value());
  CHECK(content->routes[0].open_to_all);
  CHECK(content->workspaces ==
        std::vector<mesh_workspace>{{workspace_name("t"), {"k1", "k2"}, 1, 637, 12.5},
                                    {workspace_name("u"), {}, 0, 0, 0}});

  SECTION("a workspace with a malformed part makes the configuration unreadable") {
    for (const auto& [from, to] : {std::pair("\"k1\"", "1"), std::pair("637", "-1"),
                                   std::pair("\"public\":true", "\"public\":1")}) {
      const std::string damaged = with_replaced(document, from, to);
      CHECK_FALSE(
          value_or_nothing<mesh_configuration>([&] { return decode_configuration(damaged); }));
    }
  }
}

TEST_CASE("a configuration with an invalid part is refused as a whole", "[platform][P3]") {
  const std::string limits =
      R"("limits":{"maxHeaderBytes":1,"maxBodyBytes":2,"headerTimeoutMs":3,"idleTimeoutMs":4})";
  const std::string route =
      R"({"name":"r","host":"h","pathPrefix":"/p/","routeType":"unsafe","timeoutMs":1200,)"
      R"("targetLatencyMs":600,"priority":1,"service":"s","attempts":2})";
  const std::string split_route =
      R"({"name":"q","host":"h","pathPrefix":"/q/","routeType":"safe","timeoutMs":1000,)"
      R"("targetLatencyMs":500,"weightedBackends":[{"service":"s","weight":90},{"service":"t",)"
      R"("weight":10}]})";
  const std::string document = R"({"version":7,"routes":[)" + route + "," + split_route +
                               R"(],"services":[{"name":"s","healthPath":"/h"}],)" + limits + "}";
  const auto read = [](const std::string& text) {
    return value_or_nothing<mesh_configuration>([&] { return decode_configuration(text); });
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

  CHECK_FALSE(read(with_replaced(document, "\"unsafe\"", "5")));
  CHECK_FALSE(read(with_replaced(document, "\"service\":\"s\",", "")));
  CHECK_FALSE(read(with_replaced(document, "\"timeoutMs\":1200,", "")));
  CHECK_FALSE(read(document.substr(0, document.size() / 2)));
  CHECK_FALSE(read(with_replaced(document, "\"limits\"", "\"other\"")));
  CHECK_FALSE(read(with_replaced(document, "\"timeoutMs\":1200", "\"timeoutMs\":-1")));
  CHECK_FALSE(read(with_replaced(document, "\"weight\":90", "\"weight\":\"90\"")));
  CHECK_FALSE(read("[]"));
  CHECK_FALSE(read(""));

  SECTION("the response to a read contains the configuration and its revision") {
    const std::string object =
        R"({"metadata":{"name":"main","revision":31},"spec":)" + document + "}";
    const configuration_read_result result = read_configuration_object(object);
    CHECK(result.revision == 31);
    REQUIRE(result.configuration.has_value());
    CHECK(*result.configuration == *content);

    CHECK(read_configuration_object(with_replaced(object, "main", "other"))
              .configuration.has_value() == false);
    const configuration_read_result damaged =
        read_configuration_object(with_replaced(object, "\"unsafe\"", "5"));
    CHECK(damaged.configuration.has_value() == false);
    CHECK(damaged.problem == "routes[0].routeType: expected a text");
    CHECK_FALSE(read_configuration_object("{").problem.empty());
  }
  SECTION("of several changes the latest one of the configuration object is used") {
    const auto event = [&](const std::string& version, const std::string& name) {
      return R"({"deleted":false,"object":{"metadata":{"name":")" + name + R"("},"spec":)" +
             with_replaced(document, "\"version\":7", "\"version\":" + version) + "}}";
    };
    const std::string response = R"({"storeRevision":40,"events":[)" + event("8", "main") + "," +
                                 event("9", "main") + "," + event("10", "other") + "]}";
    const configuration_read_result result = read_configuration_events(response);
    CHECK(result.revision == 40);
    REQUIRE(result.configuration.has_value());
    CHECK(result.configuration->version == 9);
    CHECK(read_configuration_events(R"({"storeRevision":41,"events":[]})").configuration ==
          std::nullopt);
  }
}

}  // namespace crocusdoor::platform

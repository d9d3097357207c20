#include "daemon/settings.h"

#include <catch2/catch.hpp>

#include "core/record_codec.h"

namespace crocusdoor {

namespace {

/// A change to the valid settings and a text that the refusal message must contain.
struct fault_case {
  std::string pointer;
  json value;
  std::string expected;
};

json valid_document() {
  return json::parse(default_settings_text(), nullptr, true, true);
}

/// The refusal message, or an empty string if the settings are accepted.
std::string refusal_message(const std::string& text) {
  std::string message;
  handle_failure(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(parse_settings(text));
        return {};
      },
      [&](const failure& error) { message = error.message; });
  return message;
}

std::size_t count_lines(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) + !text.empty();
}

}  // namespace

TEST_CASE("the printed defaults equal the defaults in the code", "[F12]") {
  const settings parsed_defaults = parse_settings(default_settings_text()).value();

  SECTION("every key of the settings is printed") {
    CHECK(encode_value(parsed_defaults) == valid_document());
  }

  SECTION("omitted optional keys get the same values") {
    json document = valid_document();
    for (const char* section : {"peers", "timing", "limits", "log", "trace"}) {
      document.erase(section);
    }
    for (const char* key : {"caller_port", "peer_port", "api_port"}) {
      document["listen"].erase(key);
    }
    for (const char* key : {"address", "connections", "health_path", "health_interval_ms"}) {
      document["target"].erase(key);
    }
    for (const char* key : {"timeout_ms", "watch_wait_ms", "connections", "read_capacity_per_s",
                            "read_share_percent"}) {
      document["platform"].erase(key);
    }
    CHECK(parse_settings(document.dump()).value() == parsed_defaults);
  }
}

TEST_CASE("each class of fault in a settings file is refused with its JSON pointer", "[F12]") {
  const json seed = {{"address", "127.0.0.1"}, {"port", 9}};
  const fault_case cases[] = {
      {"/instance/name", "", "/instance/name: found \"\"; a name has 1 to 128"},
      {"/instance/name", "a b", "/instance/name: found \"a b\""},
      {"/instance/name", 7, "/instance/name: expected a string, found number"},
      {"/instance/nmae", "x", "/instance/nmae: unknown key; accepted keys: name, domain, region"},
      {"/listen/address", "localhost", "/listen/address: found \"localhost\"; expected a numeric"},
      {"/listen/address", "0.0.0.0", "/listen/address: found \"0.0.0.0\""},
      {"/listen/api_port", 0, "/listen/api_port: value 0 is outside 1 to 65535"},
      {"/listen/api_port", 65536, "/listen/api_port: value 65536 is outside 1 to 65535"},
      {"/listen/api_port", 1.5, "/listen/api_port: expected an integer, found number"},
      {"/listen/api_port", 7400,
       "/listen/api_port: found 127.0.0.1:7400, which /listen/caller_port uses already"},
      {"/target/port", 7401, "/target/port: found 127.0.0.1:7401, which /listen/peer_port uses"},
      {"/platform/port", 8080, "/platform/port: found 127.0.0.1:8080, which /target/port uses"},
      {"/target/health_path", "health", "/target/health_path: found \"health\"; a path starts"},
      {"/target/slots", 101, "/target/connections: value 100 is below the slots of the target"},
      {"/peers/seeds",
       {seed, seed},
       "/peers/seeds/1/port: found 127.0.0.1:9, which /peers/seeds/0/port uses already"},
      {"/peers/seeds",
       {{{"address", "127.0.0.1"}, {"port", 0}}},
       "/peers/seeds/0/port: value 0 is outside 1 to 65535"},
      {"/peers/seeds",
       {{{"address", "::1"}, {"port", 1}}},
       "/peers/seeds/0/address: found \"::1\"; expected a numeric IPv4 address"},
      {"/timing/heartbeat_timeout_ms", 1500,
       "/timing/heartbeat_timeout_ms: value 1500 is below 2000, which is 2 times"},
      {"/timing/reconnect_limit_ms", 99, "/timing/reconnect_limit_ms: value 99 is below 100"},
      {"/limits/body_bytes", 1'000'001, "/limits/body_bytes: value 1000001 is outside 1000 to"},
      {"/limits/queue_length", -1, "/limits/queue_length: value -1 is outside 0 to 100000"},
      {"/log/minimum_level", "debug", "unknown value \"debug\"; accepted: info, warning, error"},
      {"/trace", nullptr, "/trace: expected an object, found null"},
  };
  for (const fault_case& fault : cases) {
    json document = valid_document();
    document[json::json_pointer(fault.pointer)] = fault.value;
    const std::string message = refusal_message(document.dump());
    INFO(fault.pointer << " = " << fault.value);
    CHECK_THAT(message, Catch::Contains(fault.expected));
    CHECK(count_lines(message) == 1);
  }
}

TEST_CASE("the refusal of a settings file lists all faults", "[F12]") {
  const std::string message = refusal_message(
      "{ // comments are accepted\n"
      "  \"instance\": {\"name\": \"a\", \"domain\": \"b\"},\n"
      "  \"listen\": {\"address\": \"127.0.0.1\", \"peer_port\": 70000},\n"
      "  \"target\": {\"port\": 80, \"service\": \"s\", \"slots\": 2, \"conections\": 3},\n"
      "  \"log\": {\"minimum_level\": \"all\"}\n"
      "}");
  CHECK(message ==
        "line 2, column 15, /instance: missing key \"region\"\n"
        "line 3, column 51, /listen/peer_port: value 70000 is outside 1 to 65535\n"
        "line 4, column 68, /target/conections: unknown key; accepted keys: address, port, "
        "service, slots, connections, health_path, health_interval_ms\n"
        "line 1, column 1, /: missing key \"platform\"\n"
        "line 5, column 28, /log/minimum_level: unknown value \"all\"; accepted: info, warning, "
        "error");
}

TEST_CASE("a settings file that is not a valid document is refused", "[F12]") {
  CHECK_THAT(refusal_message(""), Catch::Contains("line 1, column 1"));
  CHECK_THAT(refusal_message("{\"log\": {}, \"log\": {}}"),
             Catch::Contains("duplicate key \"log\""));
  CHECK_THAT(refusal_message("[]"), Catch::Contains("expected an object, found array"));
  CHECK_THAT(refusal_message(std::string(1'000'001, ' ')), Catch::Contains("1000000 are accepted"));
}

TEST_CASE("a seed may be the peer port of the daemon itself") {
  json document = valid_document();
  document["peers"]["seeds"] = {{{"address", "127.0.0.1"}, {"port", 7401}},
                                {{"address", "127.0.0.1"}, {"port", 7411}}};
  CHECK(parse_settings(document.dump()).value().peers.seeds.size() == 2);
}

}  // namespace crocusdoor

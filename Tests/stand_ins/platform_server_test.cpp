#include "stand_ins/platform_server.h"

#include <catch2/catch.hpp>

#include "loop_client.h"

namespace crocusdoor::stand_ins {

namespace {

const std::string head = "/v1/objects/configuration/head";

/// One write against an object of version 2 or an object that does not exist.
struct write_case {
  std::string method;
  std::string target;
  http_headers headers;
  int status;
};

struct platform_fixture {
  event_loop loop;
  platform_server server{loop, {"127.0.0.1", 0}};
  loop_client client{loop, server.port()};

  int write(const std::string& value, const http_headers& headers = {}) {
    return client.send("PUT", head, headers, value).response.status;
  }
  void apply_faults(const std::string& document) {
    static_cast<void>(server.control(document).value());
  }
};

std::string tag_of(const http_result& result) {
  const auto found = result.response.headers.find("ETag");
  return found == result.response.headers.end() ? "" : found->second;
}

}  // namespace

TEST_CASE_METHOD(platform_fixture, "a write takes effect only if its condition holds", "[F5]") {
  CHECK(client.send("GET", head).response.status == 404);
  REQUIRE(write("one", {{"If-None-Match", "*"}}) == 201);
  REQUIRE(write("two", {{"If-Match", "\"1\""}}) == 200);
  const std::string absent = "/v1/objects/configuration/absent";

  const write_case refused[] = {
      {"PUT", head, {{"If-Match", "\"1\""}}, 412},
      {"PUT", head, {{"If-Match", "\"3\""}}, 412},
      {"PUT", head, {{"If-None-Match", "*"}}, 412},
      {"PUT", absent, {{"If-Match", "\"2\""}}, 412},
      {"PUT", absent, {{"If-Match", "*"}}, 412},
      {"DELETE", head, {{"If-Match", "\"1\""}}, 412},
      {"DELETE", absent, {}, 404},
      {"PUT", head, {{"If-Match", "2"}}, 400},
      {"PUT", head, {{"If-Match", "\"x\""}}, 400},
      {"PUT", head, {{"If-None-Match", "\"2\""}}, 400},
      {"POST", head, {}, 405},
      {"PUT", "/v1/objects/configuration", {}, 405},
  };
  for (const write_case& test_case : refused) {
    INFO(test_case.method << " " << test_case.target);
    const std::string body = test_case.method == "DELETE" ? "" : "other";
    CHECK(
        client.send(test_case.method, test_case.target, test_case.headers, body).response.status ==
        test_case.status);
  }
  const http_result read = client.send("GET", head);
  CHECK(read.response.body == "two");
  CHECK(tag_of(read) == "\"2\"");
  CHECK(client.send("GET", head, {{"If-None-Match", "\"2\""}}).response.status == 304);
  CHECK(server.counts().conflicts == 6);

  SECTION("an object that is removed and created again gets a new version") {
    CHECK(client.send("DELETE", head, {{"If-Match", "\"2\""}}).response.status == 204);
    const http_result created = client.send("PUT", head, {{"If-None-Match", "*"}}, "three");
    CHECK(created.response.status == 201);
    CHECK(tag_of(created) == "\"4\"");
  }
}

TEST_CASE_METHOD(platform_fixture, "values have at most 1 MB", "[F12]") {
  CHECK(write(std::string(1'000'000, 'x')) == 201);
  CHECK(write(std::string(1'000'001, 'x')) == 413);
}

TEST_CASE_METHOD(platform_fixture, "a listing is paged in the order of names") {
  for (const char* name : {"b/2", "a/1", "b/1", "b/3"}) {
    client.send("PUT", "/v1/objects/run-once-0/" + std::string(name), {}, name);
  }
  const auto list = [&](const std::string& query) {
    const json page =
        json::parse(client.send("GET", "/v1/objects/run-once-0" + query).response.body);
    std::string names;
    for (const json& object : page["objects"]) {
      CHECK(object["name"] == object["value"]);
      names += object["name"].get<std::string>() + " ";
    }
    return names + "next=" + page["next"].get<std::string>();
  };
  CHECK(list("") == "a/1 b/1 b/2 b/3 next=");
  CHECK(list("?prefix=b%2F&limit=2") == "b/1 b/2 next=b/2");
  CHECK(list("?prefix=b/&limit=2&after=b/2") == "b/3 next=");
  CHECK(list("?prefix=c") == "next=");

  SECTION(
      "a page stays below the body limit of the client, and values that are not UTF-8 are null") {
    const std::string kind = "/v1/objects/large/";
    client.send("PUT", kind + "1", {}, std::string(300'000, '"'));
    client.send("PUT", kind + "2", {}, std::string(300'000, '"'));
    client.send("PUT", kind + "3", {}, "\xff");
    const json first = json::parse(client.send("GET", "/v1/objects/large").response.body);
    CHECK(first["objects"].size() == 1);
    CHECK(first["next"] == "1");
    const json rest = json::parse(client.send("GET", "/v1/objects/large?after=1").response.body);
    CHECK(rest["objects"][1]["value"].is_null());
  }
}

TEST_CASE_METHOD(platform_fixture, "a watch responds when the version differs", "[M1]") {
  write("one");
  const std::string watch = "/v1/watch/configuration/head";

  SECTION("at once, if it differs already") {
    CHECK(client.send("GET", watch + "?after=0&wait_ms=10000").response.body == "one");
  }
  SECTION("without a value when the wait has ended") {
    CHECK(client.send("GET", watch + "?after=1&wait_ms=5").response.status == 204);
  }
  SECTION("as soon as the object is written or removed") {
    std::vector<http_result> results;
    const auto store_result = [&](const http_result& result) { results.push_back(result); };
    client.start("GET", watch + "?after=1&wait_ms=20000", {}, "", store_result);
    REQUIRE(client.run_until([&] { return server.counts().watches_waiting == 1; }));
    write("two");
    REQUIRE(client.run_until([&] { return results.size() == 1; }));
    CHECK(results[0].response.body == "two");
    CHECK(tag_of(results[0]) == "\"2\"");
    client.start("GET", watch + "?after=2&wait_ms=20000", {}, "", store_result);
    REQUIRE(client.run_until([&] { return server.counts().watches_waiting == 1; }));
    client.send("DELETE", head);
    REQUIRE(client.run_until([&] { return results.size() == 2; }));
    CHECK(results[1].response.status == 404);
  }
  SECTION("a watch ends when the caller closes its connection") {
    const http_call call =
        client.start("GET", watch + "?after=1&wait_ms=20000", {}, "", [](const http_result&) {});
    REQUIRE(client.run_until([&] { return server.counts().watches_waiting == 1; }));
    client.cancel(call);
    CHECK(client.run_until([&] { return server.counts().watches_waiting == 0; }));
  }
}

TEST_CASE_METHOD(platform_fixture, "the platform stand-in simulates faults on request", "[F2]") {
  write("one");

  SECTION("lost response: the write has taken effect") {
    apply_faults(R"({"lose_answers": 1})");
    CHECK(client.send("PUT", head, {{"If-Match", "\"1\""}}, "two").outcome ==
          http_outcome::interrupted);
    CHECK(client.send("GET", head).response.body == "two");
    CHECK(write("three", {{"If-Match", "\"2\""}}) == 200);
    CHECK(server.counts().answers_lost == 1);
  }
  SECTION("outage: no write takes effect, and waiting watches end") {
    bool ended = false;
    client.start(
        "GET", "/v1/watch/configuration/head?after=1&wait_ms=20000", {}, "",
        [&](const http_result& result) { ended = result.outcome == http_outcome::interrupted; });
    REQUIRE(client.run_until([&] { return server.counts().watches_waiting == 1; }));
    apply_faults(R"({"down_ms": 3600000})");
    CHECK(client.run_until([&] { return ended; }));
    CHECK(client.send("PUT", head, {}, "two").outcome == http_outcome::interrupted);
    CHECK(server.counts().refused == 1);
    CHECK(server.counts().writes == 1);
  }
  SECTION("hang: a write takes effect although its caller has closed the connection") {
    apply_faults(R"({"hang_ms": 50})");
    bool answered = false;
    const http_call call =
        client.start("PUT", head, {}, "late", [&](const http_result&) { answered = true; });
    // The second call arrives later, so its response comes after the first call has taken effect.
    const timer_handle cancel_timer =
        loop.after(std::chrono::milliseconds(10), [&] { client.cancel(call); });
    CHECK(client.run_until([&] { return server.counts().writes == 2; }));
    CHECK(client.send("GET", head).response.body == "late");
    CHECK_FALSE(answered);
  }
  SECTION("an order with an unknown key or a value out of range is refused") {
    CHECK(client.send("POST", "/control", {}, R"({"down": 1})").response.status == 400);
    CHECK(client.send("POST", "/control", {}, R"({"down_ms": -1})").response.status == 400);
    CHECK(client.send("POST", "/control", {}, "{").response.status == 400);
  }
}

}  // namespace crocusdoor::stand_ins

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/record_codec.h"
#include "platform/configuration_reader.h"
#include "platform/list_reader.h"
#include "platform/object_store.h"
#include "transport/http_server.h"

namespace crocusdoor::platform {

namespace {

constexpr std::uint16_t store_port = 23'902;
constexpr std::size_t deep_nesting = 100'000;

std::string entry(const std::string& name, const std::string& endpoint) {
  return R"({"metadata":{"name":")" + name + R"("},"spec":{"endpoint":")" + endpoint + R"("}})";
}

/// Entry of the daemon "a" with a JSON document in place of its crash counts.
std::string entry_with_counts(const std::string& counts) {
  return R"({"metadata":{"name":"a"},"spec":{"endpoint":"10.0.0.1:7600","crashingRequests":)" +
         counts + "}}";
}

std::string nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

/// Entries of another writer that a reader must survive.
std::vector<std::string> odd_entries() {
  return {
      R"({"metadata":{"name":"n"},"spec":{"endpoint":1e999}})",
      R"({"metadata":{"name":"n","revision":1e99999},"spec":{}})",
      R"({"metadata":{"name":"n"},"spec":{"endpoint":"\ud800"}})",
      R"({"metadata":{"name":"n"},"spec":{"endpoint":")" + std::string("\xff\xfe") + R"("}})",
      R"({"metadata":{"name":"n"},"spec":{"endpoint":")" + std::string("\x01\n") + R"("}})",
      R"({"metadata":{"name":"n"},"spec":)" + nested(deep_nesting) + "}",
      R"({"metadata":)" + nested(deep_nesting) + "}",
      R"({"metadata":{"name":"n"},"spec":{"endpoint":"10.0.0.1:99999999999999999999"}})",
      R"({"metadata":{"name":7},"spec":[]})",
      R"({"metadata":null})",
      "99999999999999999999999999",
      "\"text\"",
      "null",
      "[]",
      "{}",
  };
}

/// A valid JSON text with one change of another writer.
struct spoiled_text {
  std::string text;
  std::size_t position = 0;  ///< Of the change.
  bool replaced = false;     ///< Whether one byte was replaced; otherwise the text ends there.
  /// Whether the change affects no quote and no bracket, so that a list that contains the text is
  /// still split into the same elements.
  bool separable = false;
};

/// The text with each byte replaced by each character of JSON's structure and by a letter, and the
/// text cut at each byte.
std::vector<spoiled_text> spoiled_texts(const std::string& valid) {
  constexpr std::string_view replacements = "{}[]:,\"x";
  constexpr std::string_view delimiters = "{}[]\"";
  std::vector<spoiled_text> texts;
  for (std::size_t position = 0; position < valid.size(); ++position) {
    texts.push_back({valid.substr(0, position), position, false, false});
    const bool delimiter = delimiters.find(valid[position]) != std::string_view::npos;
    for (const char byte : replacements) {
      spoiled_text spoiled{valid, position, true, false};
      spoiled.text[position] = byte;
      spoiled.separable = !delimiter && delimiters.find(byte) == std::string_view::npos;
      texts.push_back(spoiled);
    }
  }
  return texts;
}

/// Valid entries of the daemon "n" that have each member that is read. The members of an object are
/// looked up by name, so what precedes a syntax error depends on their order.
std::vector<std::string> full_entries() {
  const std::string first = R"(")" + digest_of("first").str() + R"(")";
  const std::string second = R"(")" + digest_of("second").str() + R"(")";
  const std::string departures = R"("departures":[{"target":"i-1","born":5,"start_known":true},)"
                                 R"({"start_known":false,"born":6,"target":"i-2"}])";
  return {
      R"({"metadata":{"name":"n","revision":4},"spec":{"endpoint":"10.0.0.3:7600",)"
      R"("crashingRequests":[{"request":)" +
          first + R"(,"clearings":0,"crashes":2,"base":)" + second + R"(,"group":)" + first +
          R"(},{"group":)" + first + R"(,"base":)" + second +
          R"(,"crashes":2,"clearings":0,"request":)" + second + "}]," + departures + "}}",
      R"({"spec":{)" + departures + R"(,"crashingRequests":[{"base":)" + first +
          R"(,"clearings":0,"crashes":2,"group":)" + second + R"(,"request":)" + first +
          R"(},{"group":)" + second + R"(,"request":)" + second +
          R"(,"clearings":0,"crashes":2,"base":)" + first +
          R"(}],"endpoint":"10.0.0.3:7600"},"metadata":{"revision":4,"name":"n"}})",
  };
}

std::string joined(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) {
    text += (text.empty() ? "" : ",") + item;
  }
  return text;
}

/// The object of the store with a configuration that has each member that is read.
std::string configuration_object() {
  return R"({"metadata":{"name":"main","revision":6},"spec":{"version":3,"routes":[)"
         R"({"name":"r","host":"h","pathPrefix":"/","routeType":"safe","timeoutMs":9,)"
         R"("targetLatencyMs":8,"priority":1,"attempts":2,"weightedBackends":[)"
         R"({"service":"s","weight":1},{"service":"t","weight":2}]}],"services":[)"
         R"({"name":"s","healthPath":"/h","maxConnections":3}],"limits":{"maxHeaderBytes":1,)"
         R"("maxBodyBytes":1,"headerTimeoutMs":1,"idleTimeoutMs":1}}})";
}

std::string list_of(const std::vector<std::string>& items, bool truncated = false) {
  return R"({"items":[)" + joined(items) + R"(],"truncated":)" + (truncated ? "true" : "false") +
         R"(,"storeRevision":7})";
}

/// A store that responds to each request with the body of its target, in turn.
class canned_store {
 public:
  explicit canned_store(event_loop& loop, std::vector<std::string> bodies)
      : bodies_(std::move(bodies)),
        server_(loop, {"127.0.0.1", store_port},
                [this](const std::shared_ptr<http_exchange>& exchange) {
                  targets.push_back(exchange->request().target);
                  received.push_back(exchange->request().body);
                  const std::size_t last = bodies_.size() - 1;
                  exchange->respond({200, {}, bodies_[std::min(targets.size() - 1, last)]});
                }) {}

  std::vector<std::string> targets;
  std::vector<std::string> received;  ///< Bodies of the requests.

 private:
  std::vector<std::string> bodies_;
  http_server server_;
};

daemon_listing list_daemons(event_loop& loop, std::vector<std::string> bodies,
                            std::vector<std::string>* targets = nullptr) {
  canned_store server(loop, std::move(bodies));
  object_store store(loop, {"127.0.0.1", store_port});
  daemon_listing result;
  store.list_daemons([&](const daemon_listing& listing) {
    result = listing;
    loop.stop();
  });
  const timer_handle limit = loop.after(std::chrono::seconds(5), [&] { loop.stop(); });
  loop.run();
  if (targets != nullptr) {
    *targets = server.targets;
  }
  return result;
}

bool contains(const daemon_listing& listing, const daemon_entry& wanted) {
  return std::find(listing.daemons.begin(), listing.daemons.end(), wanted) != listing.daemons.end();
}

}  // namespace

TEST_CASE("one odd entry of another writer does not hide the other daemons",
          "[platform_adapter][F7]") {
  event_loop loop;
  const daemon_entry first{instance_name("a"), "10.0.0.1:7600", {}, {}};
  const daemon_entry last{instance_name("z"), "10.0.0.2:7600", {}, {}};

  SECTION("whatever it holds and wherever it stands") {
    for (const std::string& odd : odd_entries()) {
      INFO(odd.substr(0, 100));
      const std::string before = entry("a", "10.0.0.1:7600");
      const std::string after = entry("z", "10.0.0.2:7600");
      for (const auto& items : {std::vector{odd, before, after}, std::vector{before, odd, after},
                                std::vector{before, after, odd}}) {
        const daemon_listing listing = list_daemons(loop, {list_of(items)});
        CHECK(listing.outcome == store_outcome::done);
        CHECK(contains(listing, first));
        CHECK(contains(listing, last));
      }
    }
  }
  SECTION("at the end of a page, which the next page continues") {
    const daemon_listing listing =
        list_daemons(loop, {list_of({entry("a", "10.0.0.1:7600"), "{}"}, true),
                            list_of({entry("z", "10.0.0.2:7600")})});
    CHECK(contains(listing, first));
    CHECK(contains(listing, last));
  }
  SECTION("a page without any name ends the listing, which is incomplete") {
    CHECK(list_daemons(loop, {list_of({"{}"}, true)}).outcome == store_outcome::unreadable);
  }
  SECTION("a name is one segment of the path of the next page") {
    std::vector<std::string> targets;
    list_daemons(loop, {list_of({entry("b c?d=1&e/%", "x")}, true), list_of({})}, &targets);
    REQUIRE(targets.size() == 2);
    CHECK(targets[1] == "/objects/crocusdoor-daemons?after=b%20c%3Fd%3D1%26e%2F%25");
  }
}

// Guards against a segmentation fault: after a syntax error, further members were looked up in a
// document that the parser had abandoned.
TEST_CASE("a syntax error in the entry of another writer does not end the process",
          "[platform_adapter][F7]") {
  SECTION("among the members of a crash count") {
    const std::string valid =
        R"({"request":")" + digest_of("one").str() + R"(","clearings":0,"crashes":2)";
    const listed_daemon read =
        read_listed_daemon(entry_with_counts("[" + valid + R"(,"{}base":"spec":,"group":"x"}])"));
    CHECK(read.readable);
    CHECK(read.entry.endpoint == "10.0.0.1:7600");
  }
  SECTION("at any byte") {
    for (const std::string& valid : full_entries()) {
      const listed_daemon whole = read_listed_daemon(valid);
      REQUIRE(whole.readable);
      REQUIRE(whole.revision == 4);
      REQUIRE(whole.entry.crashing_requests.size() == 2);
      REQUIRE(whole.entry.departures.size() == 2);
      for (const spoiled_text& spoiled : spoiled_texts(valid)) {
        INFO(spoiled.text);
        const listed_daemon read = read_listed_daemon(spoiled.text);
        CHECK(read.entry.crashing_requests.size() <= 2);
        CHECK(read.entry.departures.size() <= 2);
      }
    }
  }
  SECTION("after its name and its endpoint, which hold") {
    const std::string valid = full_entries().front();
    const std::size_t counts = valid.find(R"(,"crashingRequests")");
    for (const spoiled_text& spoiled : spoiled_texts(valid)) {
      if (spoiled.position >= counts && spoiled.separable) {
        INFO(spoiled.text);
        const listed_daemon read = read_listed_daemon(spoiled.text);
        CHECK(read.readable);
        CHECK(read.name == "n");
        CHECK(read.revision == 4);
        CHECK(read.entry.endpoint == "10.0.0.3:7600");
      }
    }
  }
  SECTION("among its crash counts, which do not hide its departures") {
    const std::string valid = full_entries().front();
    const std::vector<target_departure> departures = read_listed_daemon(valid).entry.departures;
    const std::size_t counts = valid.find(R"([{"request")");
    const std::size_t end = valid.find(R"(],"departures")");
    for (const spoiled_text& spoiled : spoiled_texts(valid)) {
      if (spoiled.position > counts && spoiled.position < end && spoiled.separable) {
        INFO(spoiled.text);
        CHECK(read_listed_daemon(spoiled.text).entry.departures == departures);
      }
    }
  }
}

// Guards against a listing that ends the process or loses other daemons because of one entry.
TEST_CASE("a syntax error in an entry of a listing does not hide the other daemons",
          "[platform_adapter][F7]") {
  const std::string before = entry("a", "10.0.0.1:7600");
  const std::string after = entry("z", "10.0.0.2:7600");
  for (const std::string& valid : full_entries()) {
    for (const spoiled_text& spoiled : spoiled_texts(valid)) {
      INFO(spoiled.text);
      std::vector<std::string> names;
      handle_failure(
          [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(list, read_list(list_of({before, spoiled.text, after}), "items"));
            for (const std::string& element : list.elements) {
              names.push_back(read_listed_daemon(element).name);
            }
            return {};
          },
          [&](const failure&) { names.clear(); });
      if (spoiled.separable) {
        REQUIRE(names.size() == 3);
        CHECK(names.front() == "a");
        CHECK(names.back() == "z");
      }
    }
  }
}

TEST_CASE("a listing that cannot be read is not an empty listing", "[platform_adapter][F7]") {
  event_loop loop;
  for (const char* body : {"", "{", "[]", "{\"items\":{}}", "{\"items\":[{]}", "{\"items\":[,]}",
                           "{\"items\":[{},,{}]}", "{\"items\":[{}}", "not JSON"}) {
    INFO(body);
    const daemon_listing listing = list_daemons(loop, {body});
    CHECK(listing.outcome == store_outcome::unreadable);
    CHECK_FALSE(listing.problem.empty());
  }
  CHECK(list_daemons(loop, {list_of({})}).outcome == store_outcome::done);
}

TEST_CASE("one odd event of another writer does not hide a new configuration",
          "[platform_adapter][F7]") {
  const std::string configuration =
      R"({"object":{"metadata":{"name":"main","revision":6},"spec":{"version":3,"routes":[],)"
      R"("services":[],"limits":{"maxHeaderBytes":1,"maxBodyBytes":1,"headerTimeoutMs":1,)"
      R"("idleTimeoutMs":1}}},"deleted":false})";
  for (const std::string& odd : odd_entries()) {
    INFO(odd.substr(0, 100));
    const std::string event = R"({"object":)" + odd + R"(,"deleted":false})";
    for (const auto& events :
         {std::vector{event, configuration}, std::vector{configuration, event}}) {
      const configuration_read_result result =
          read_configuration_events(R"({"events":[)" + joined(events) + R"(],"storeRevision":9})");
      CHECK(result.outcome == store_outcome::done);
      CHECK(result.revision == 9);
      REQUIRE(result.configuration.has_value());
      CHECK(result.configuration->version == 3);
    }
  }
  CHECK(read_configuration_events("{").outcome == store_outcome::unreadable);
  CHECK(read_configuration_object("{").outcome == store_outcome::unreadable);
}

// Guards against an event or a configuration with a syntax error that ends the process or hides a
// valid configuration.
TEST_CASE("a syntax error in a configuration does not end the process or hide another one",
          "[platform_adapter][F7]") {
  const std::string object = configuration_object();
  REQUIRE(read_configuration_object(object).configuration.has_value());
  const std::string event = R"({"object":)" + object + R"(,"deleted":false})";
  const std::string document = object.substr(object.find(R"({"version")"));
  for (const spoiled_text& spoiled : spoiled_texts(event)) {
    INFO(spoiled.text);
    for (const auto& events :
         {std::vector{spoiled.text, event}, std::vector{event, spoiled.text}}) {
      const configuration_read_result result =
          read_configuration_events(R"({"events":[)" + joined(events) + R"(],"storeRevision":9})");
      if (spoiled.separable) {
        CHECK(result.outcome == store_outcome::done);
        CHECK(result.revision == 9);
        CHECK(result.configuration.has_value());
      }
    }
  }
  for (const spoiled_text& spoiled : spoiled_texts(object)) {
    INFO(spoiled.text);
    const configuration_read_result result = read_configuration_object(spoiled.text);
    CHECK((spoiled.replaced || result.outcome == store_outcome::unreadable));
  }
  // The last character closes the object and is not part of the document.
  for (const spoiled_text& spoiled : spoiled_texts(document.substr(0, document.size() - 1))) {
    INFO(spoiled.text);
    const bool decoded = handle_failure(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(decode_configuration(spoiled.text));
          return true;
        },
        [](const failure&) { return false; });
    CHECK((spoiled.replaced || !decoded));
  }
}

TEST_CASE("the crash counts in the entry of a daemon are read as they were stored",
          "[platform_adapter][F6]") {
  event_loop loop;
  const daemon_entry stored{
      instance_name("a"),
      "10.0.0.1:7600",
      {{digest_of("one"), 0, 2}, {digest_of("two"), 7, 3, digest_of("one"), digest_of("name")}},
      {{"i-1", 1'700'000'000'000U, true}, {"i-2", 1'700'000'000'001U, false}}};

  SECTION("by any daemon") {
    canned_store server(loop, {"{}"});
    object_store store(loop, {"127.0.0.1", store_port});
    store.replace_daemon(stored, 7, [&](const daemon_write& result) {
      CHECK(result.outcome == store_outcome::done);
      loop.stop();
    });
    loop.run();
    REQUIRE(server.received.size() == 1);
    CHECK(read_listed_daemon(server.received[0]).entry == stored);
    CHECK(read_listed_daemon(server.received[0]).revision == 7);
  }
  SECTION("without those that cannot be read, which do not hide the daemon") {
    const std::string count = encode_value(stored.crashing_requests[0]).dump();
    const std::vector<std::string> odd = {
        R"({"request":"short","clearings":0,"crashes":2})",
        R"({"request":")" + digest_of("x").str() + R"(","clearings":-1,"crashes":2})",
        R"({"request":")" + digest_of("x").str() + R"(","clearings":0,"crashes":1e999})",
        R"({"request":")" + digest_of("x").str() + R"(","clearings":0,"crashes":99999999999})",
        "7",
        "null",
        nested(deep_nesting),
    };
    for (const std::string& element : odd) {
      INFO(element.substr(0, 100));
      for (const std::string& before : {std::string(), count + ","}) {
        std::string list = "[";
        list.append(before).append(element).append("]");
        const listed_daemon read = read_listed_daemon(entry_with_counts(list));
        CHECK(read.readable);
        CHECK(read.entry.endpoint == stored.endpoint);
        CHECK(read.entry.crashing_requests.size() == (before.empty() ? 0 : 1));
      }
      CHECK(read_listed_daemon(entry_with_counts(element)).readable);
    }
  }
  SECTION("and a syntax error among them does not hide the departures") {
    for (const char* list : {"[7 8]", "[7,]", "[{\"request\" 7}]", "[,]"}) {
      INFO(list);
      const listed_daemon read = read_listed_daemon(entry_with_counts(
          std::string(list) + R"(,"departures":[{"target":"i-1","born":5,"start_known":true}])"));
      CHECK(read.readable);
      CHECK(read.entry.departures == std::vector<target_departure>{{"i-1", 5, true}});
    }
  }
}

}  // namespace crocusdoor::platform

#include "routing/upstream_selector.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <set>

#include "routing/upstream_subset.h"

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_name statements("statements");
constexpr time_point start{seconds(1000)};

upstream make_upstream(int index, const std::string& zone = "a",
                       time_point ready_since = time_point()) {
  return {.instance = instance_name("target-" + std::to_string(index)),
          .domain = failure_domain(zone),
          .region = region_name("coast"),
          .slots = 12,
          .ready_since = ready_since};
}

/// A caller whose requests take the time that the test sets for each target.
class calling_process {
 public:
  explicit calling_process(const std::vector<upstream>& upstreams,
                           const selection_policy& policy = {})
      : selector({instance_name("caller"), failure_domain("a"), region_name("coast")}, policy) {
    selector.set_upstreams(statements, upstreams, now);
  }

  /// Sends one request per millisecond for the given time; returns the number for each target.
  std::map<std::string, int> call_for(duration length) {
    std::map<std::string, int> chosen;
    for (const time_point end = now + length; now < end; now += milliseconds(1)) {
      finish_due();
      const auto target = selector.choose(statements, now, random);
      REQUIRE(target.has_value());
      ++chosen[target->str()];
      selector.request_sent(*target, now);
      const auto found = latency.find(target->str());
      const duration response_time = found == latency.end() ? milliseconds(10) : found->second;
      pending.emplace(now + response_time, std::pair(*target, response_time));
    }
    return chosen;
  }

  [[nodiscard]] int slow_targets() const {
    int result = 0;
    for (const upstream_state& state : selector.upstream_states(now)) {
      result += state.slow ? 1 : 0;
    }
    return result;
  }

  upstream_selector selector;
  random_source random{1};
  time_point now = start;
  std::map<std::string, duration> latency;
  std::map<std::string, load_report> reports;
  std::multimap<time_point, std::pair<instance_name, duration>> pending;

 private:
  void finish_due() {
    while (!pending.empty() && pending.begin()->first <= now) {
      const auto [target, response_time] = pending.begin()->second;
      pending.erase(pending.begin());
      const auto report = reports.find(target.str());
      selector.request_ended(
          target, now, response_time, verdict::ran,
          report == reports.end() ? std::nullopt : std::optional(report->second));
    }
  }
};

std::vector<upstream> make_upstreams(int count, const std::function<std::string(int)>& zone_of) {
  std::vector<upstream> result;
  result.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    result.push_back(make_upstream(i, zone_of(i)));
  }
  return result;
}

std::vector<upstream> six_targets() {
  return make_upstreams(6, [](int) { return "a"; });
}

std::string one_of_three_zones(int index) {
  return std::string(1, static_cast<char>('a' + index % 3));
}

}  // namespace

TEST_CASE("a target that slows down is avoided and returns gradually", "[M5][F8]") {
  calling_process caller(six_targets());
  caller.call_for(seconds(5));
  REQUIRE(caller.slow_targets() == 0);
  caller.latency["target-0"] = milliseconds(100);
  caller.call_for(milliseconds(300));
  CHECK(caller.slow_targets() == 1);

  SECTION("while it is slow it gets one probe in two seconds") {
    CHECK(caller.call_for(seconds(4))["target-0"] <= 3);

    SECTION("and when it is fast again its share grows over the ramp") {
      caller.latency.clear();
      caller.call_for(milliseconds(2200));
      CHECK(caller.slow_targets() == 0);
      const int first = caller.call_for(milliseconds(300))["target-0"];
      caller.call_for(seconds(3));
      const int later = caller.call_for(milliseconds(300))["target-0"];
      CHECK(first < later);
      CHECK(later > 25);
    }
  }

  SECTION("each of several short slow periods changes its state at most twice") {
    int changes = 0;
    int before = caller.slow_targets();
    for (int step = 0; step < 120; ++step) {
      caller.latency["target-0"] = milliseconds((step / 30) % 2 == 0 ? 100 : 10);
      caller.call_for(milliseconds(100));
      changes += caller.slow_targets() != before ? 1 : 0;
      before = caller.slow_targets();
    }
    CHECK(changes <= 4);
  }
}

TEST_CASE("when all targets slow down at once none is avoided", "[F8]") {
  calling_process caller(six_targets());
  caller.call_for(seconds(5));
  for (int i = 0; i < 6; ++i) {
    caller.latency["target-" + std::to_string(i)] = milliseconds(100);
  }
  for (int step = 0; step < 20; ++step) {
    caller.call_for(milliseconds(100));
    // While the first slow responses arrive, the estimates differ; never more than half are
    // avoided.
    CHECK(caller.slow_targets() <= 3);
  }
  caller.call_for(seconds(3));
  CHECK(caller.slow_targets() == 0);
}

TEST_CASE("four slow targets of six: at most half are avoided", "[F8]") {
  calling_process caller(six_targets());
  caller.call_for(seconds(5));
  for (int i = 0; i < 4; ++i) {
    caller.latency["target-" + std::to_string(i)] = milliseconds(300 + 100 * i);
  }
  for (int step = 0; step < 20; ++step) {
    caller.call_for(milliseconds(100));
    CHECK(caller.slow_targets() <= 3);
  }
}

TEST_CASE("a false load report neither attracts all requests nor keeps them away", "[F8]") {
  calling_process caller(six_targets());
  struct report_case {
    std::string name;
    load_report report;
  };
  const std::vector<report_case> cases{
      {"always idle", {12, 0, 0}}, {"no slots at all", {0, 0, 0}}, {"always full", {12, 12, 100}}};
  for (int i = 1; i < 6; ++i) {
    caller.reports["target-" + std::to_string(i)] = {12, 4, 0};
  }
  for (const report_case& test_case : cases) {
    DYNAMIC_SECTION(test_case.name) {
      caller.reports["target-0"] = test_case.report;
      caller.call_for(seconds(2));
      const int share = caller.call_for(seconds(4))["target-0"];
      // An even share of 4,000 calls is 667; two random choices bound the share to a third.
      CHECK(share <= 4000 / 3 + 100);
      // An outdated report is checked by a call about once a second.
      CHECK(share >= 4);
    }
  }
}

TEST_CASE("a false report of a long queue does not keep a target idle while the others are full",
          "[F8]") {
  calling_process caller(six_targets());
  for (int i = 0; i < 6; ++i) {
    caller.reports["target-" + std::to_string(i)] = {12, 12, i == 0 ? 1000 : 24};
  }
  caller.call_for(seconds(2));
  CHECK(caller.call_for(seconds(4))["target-0"] >= 4000 / 12);
}

TEST_CASE("requests go to the own zone and spill over when its capacity is not sufficient",
          "[F10]") {
  const std::vector<upstream> upstreams =
      make_upstreams(6, [](int i) { return i < 3 ? "a" : "b"; });
  calling_process caller(upstreams);
  const auto count_outside = [&](duration length) {
    int result = 0;
    for (const auto& [target, count] : caller.call_for(length)) {
      result += target >= "target-3" ? count : 0;
    }
    return result;
  };
  count_outside(seconds(2));
  CHECK(count_outside(seconds(2)) <= 20);

  SECTION("if the targets of the own zone are full, requests go to another zone") {
    for (int i = 0; i < 3; ++i) {
      caller.reports["target-" + std::to_string(i)] = {12, 12, 24};
    }
    caller.call_for(milliseconds(500));
    CHECK(count_outside(seconds(2)) > 500);

    SECTION("until they have room again") {
      for (int i = 0; i < 3; ++i) {
        caller.reports["target-" + std::to_string(i)] = {12, 3, 0};
      }
      count_outside(seconds(3));
      CHECK(count_outside(seconds(2)) <= 200);
    }
  }

  SECTION("if all targets of the own zone are excluded, the call goes to another zone") {
    const auto chosen = caller.selector.choose(
        statements, caller.now, caller.random,
        {upstreams[0].instance, upstreams[1].instance, upstreams[2].instance});
    REQUIRE(chosen.has_value());
    CHECK(chosen->str() >= "target-3");
  }
}

TEST_CASE("a cold target gets a share that grows over ten seconds", "[F9]") {
  std::vector<upstream> upstreams = six_targets();
  upstreams[0].ready_since = start;
  calling_process caller(upstreams);
  const int first = caller.call_for(seconds(1))["target-0"];
  caller.call_for(seconds(10));
  const int later = caller.call_for(seconds(1))["target-0"];
  CHECK(first <= 60);
  CHECK(later >= 100);
}

TEST_CASE("an upstream that refuses connections is avoided for a short time", "[F1]") {
  calling_process caller(six_targets());
  caller.call_for(seconds(1));
  caller.selector.connection_failed(instance_name("target-0"), caller.now);
  CHECK(caller.call_for(milliseconds(400))["target-0"] == 0);
  caller.call_for(seconds(3));
  CHECK(caller.call_for(seconds(1))["target-0"] > 100);

  SECTION("if all refuse, one of them is still tried") {
    for (int i = 0; i < 6; ++i) {
      caller.selector.connection_failed(instance_name("target-" + std::to_string(i)), caller.now);
    }
    CHECK(caller.selector.choose(statements, caller.now, caller.random).has_value());
  }
}

TEST_CASE("no more calls are in flight to one upstream than retries can cover", "[F7]") {
  // Guards against an upstream that stops responding with more calls in flight than can be repeated
  // at other upstreams after its link is closed.
  selection_policy policy;
  policy.in_flight_limit = 15;
  calling_process caller({make_upstream(0), make_upstream(1)}, policy);
  caller.latency["target-0"] = milliseconds(2);
  caller.call_for(seconds(1));
  // The faster upstream stops responding and attracts requests until its estimated latency rises.
  caller.latency["target-0"] = seconds(60);
  CHECK(caller.call_for(milliseconds(40))["target-0"] <= 15);

  SECTION("but requests are still sent when all upstreams are at the limit") {
    caller.latency["target-1"] = seconds(60);
    CHECK(caller.call_for(milliseconds(50)).size() == 2);
  }
}

TEST_CASE("a hedge is sent only where it can help", "[M4]") {
  calling_process caller(six_targets());
  caller.call_for(seconds(1));
  const instance_name target("target-0");
  const time_point sent = caller.now;
  caller.selector.request_sent(target, sent);
  CHECK(caller.selector.hedge_can_help(target, sent, sent + milliseconds(50)));

  SECTION("not if the target has answered a later request: then the request itself takes long") {
    caller.selector.request_sent(target, sent + milliseconds(5));
    caller.selector.request_ended(target, sent + milliseconds(15), milliseconds(10), verdict::ran);
    CHECK_FALSE(caller.selector.hedge_can_help(target, sent, sent + milliseconds(50)));
  }

  SECTION("not if no other upstream has free slots") {
    for (int i = 0; i < 6; ++i) {
      caller.reports["target-" + std::to_string(i)] = {12, 12, 5};
    }
    caller.call_for(seconds(1));
    CHECK_FALSE(caller.selector.hedge_can_help(target, sent, caller.now));
  }
}

TEST_CASE("subsets keep an upstream within its connection limit") {
  struct size_case {
    std::size_t upstreams;
    connection_limits limits;
    std::size_t expected;
  };
  const std::vector<size_case> cases{
      {6, {130, 12}, 6},   {100, {130, 0}, 20}, {100, {130, 400}, 20},  {20, {110, 6000}, 2},
      {1, {110, 6000}, 1}, {0, {110, 10}, 0},   {200, {130, 1000}, 18}, {6, {130, 131}, 5}};
  for (const size_case& test_case : cases) {
    CAPTURE(test_case.upstreams, test_case.limits.callers);
    CHECK(subset_size(test_case.upstreams, test_case.limits) == test_case.expected);
  }

  SECTION("counted over 1,000 callers in three zones") {
    const std::vector<upstream> upstreams = make_upstreams(200, one_of_three_zones);
    std::map<std::string, int> connections;
    for (int i = 0; i < 1000; ++i) {
      const caller_location caller{instance_name("caller-" + std::to_string(i)),
                                   failure_domain(one_of_three_zones(i)), region_name("coast")};
      for (const upstream& member :
           choose_subset(upstreams, caller, subset_size(200, {130, 1000}))) {
        ++connections[member.instance.str()];
      }
    }
    for (const auto& [target, count] : connections) {
      CAPTURE(target);
      CHECK(count <= 130);
    }
    CHECK(connections.size() == 200);
  }

  SECTION("the loss of an upstream replaces at most one member") {
    const caller_location caller{instance_name("caller"), failure_domain("a"),
                                 region_name("coast")};
    std::vector<upstream> upstreams =
        make_upstreams(60, [](int i) { return i % 2 == 0 ? "a" : "b"; });
    const auto before = choose_subset(upstreams, caller, 20);
    upstreams.erase(upstreams.begin() + 7);
    const auto after = choose_subset(upstreams, caller, 20);
    std::set<std::string> names;
    for (const auto& member : before) {
      names.insert(member.instance.str());
    }
    for (const auto& member : after) {
      names.insert(member.instance.str());
    }
    CHECK(names.size() <= 21);
  }
}

}  // namespace crocusdoor

#include <catch2/catch.hpp>

#include "quota_model.h"

namespace crocusdoor {

namespace {

constexpr std::size_t daemons = 60;
constexpr duration settling_time = std::chrono::seconds(5);
constexpr double limit_over_demand = 1.6;

mesh_workspace workspace(const std::string& name, double rate_per_s, double burst) {
  mesh_workspace result;
  result.name = workspace_name(name);
  result.rate_per_s = rate_per_s;
  result.burst = burst;
  return result;
}

quota_model::demand demand_of(std::size_t index, std::size_t at, double rate_per_s) {
  return {index, at, rate_per_s / static_cast<double>(at)};
}

std::vector<mesh_workspace> usual_workspaces() {
  return {workspace("large", 1'000, 200), workspace("small", 3, 3), workspace("other", 80, 40)};
}

}  // namespace

TEST_CASE("a steady demand within the limit is admitted", "[quota]") {
  // Failure guarded against: requests refused although the workspace is below its limit, because
  // the tokens are at other daemons.
  quota_model model(daemons, usual_workspaces(), 1);
  std::size_t at = daemons;
  SECTION("spread over all daemons") {
    at = daemons;
  }
  SECTION("concentrated on a few daemons") {
    at = 4;
  }
  SECTION("at one daemon") {
    at = 1;
  }
  const std::vector<quota_model::demand> demands = {demand_of(0, at, 600), demand_of(1, at, 1.8),
                                                    demand_of(2, at, 48)};
  model.run(settling_time, demands);
  model.reset_results();
  model.messages = 0;
  model.run(std::chrono::seconds(30), demands);
  CHECK(model.results[0].share() > 0.995);
  CHECK(model.results[1].share() > 0.98);
  CHECK(model.results[2].share() > 0.995);
  CHECK(model.over_limit == 0);
  // Messages of one daemon in a second, reports and grants.
  CHECK(model.messages / 30 / daemons < 40);
}

TEST_CASE("the first requests of a workspace are admitted", "[quota]") {
  // Failure guarded against: a pool that begins to fill with the first request.
  quota_model model(daemons, usual_workspaces(), 3);
  model.run(settling_time, {});
  model.run(std::chrono::milliseconds(500), {demand_of(2, 2, 60)});
  model.run(std::chrono::seconds(1), {});
  CHECK(model.results[2].share() == 1);
}

TEST_CASE("a burst is usable at a few daemons", "[quota]") {
  // Failure guarded against: tokens that idle daemons hold, so that a sudden demand gets only the
  // share of the daemons where it arrives.
  constexpr double usual = 60;
  const double rate = usual * limit_over_demand;
  const double burst = 200;
  quota_model model(daemons, {workspace("sudden", rate, burst)}, 2);
  model.run(settling_time, {demand_of(0, daemons, usual)});
  model.reset_results();
  model.run(std::chrono::seconds(2), {demand_of(0, 3, usual * 3), demand_of(0, daemons, usual)});
  model.run(std::chrono::seconds(8), {demand_of(0, 3, usual * 8), demand_of(0, daemons, usual)});
  CHECK(model.results[0].admitted > 0.95 * (rate * 10 + burst));
  CHECK(model.over_limit == 0);
}

TEST_CASE("no window has more requests than the limit allows", "[quota]") {
  // Failure guarded against: tokens that exist twice after a daemon was killed or cut off, or after
  // a message was late or lost.
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  quota_model model(daemons, usual_workspaces(), seed);
  const std::vector<quota_model::demand> demands = {
      demand_of(0, daemons, 3'000), demand_of(1, daemons, 30), demand_of(2, 5, 800)};
  const auto any = [&] { return model.random.index(daemons); };

  SECTION("daemons are killed and started") {
    model.run(std::chrono::seconds(20), demands, [&] {
      model.kill(any());
      model.start(any());
    });
  }
  SECTION("links are cut and restored") {
    model.run(std::chrono::seconds(20), demands,
              [&] { model.set_group(any(), static_cast<int>(model.random.index(3))); });
  }
  SECTION("all links are cut at once") {
    model.run(std::chrono::seconds(4), {});
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
      model.set_group(daemon, static_cast<int>(daemon % 7));
    }
    model.run(std::chrono::seconds(10), demands);
  }
  SECTION("messages are late and lost") {
    model.jitter = std::chrono::milliseconds(400);
    model.loss = 0.1;
    model.run(std::chrono::seconds(20), demands);
  }
  SECTION("a pause precedes the demand") {
    model.run(std::chrono::seconds(10), {});
    model.run(std::chrono::seconds(10), demands);
  }
  CHECK(model.over_limit == 0);
}

TEST_CASE("a lower limit applies once it may be known", "[quota]") {
  // Failure guarded against: tokens of the earlier limit spent under the lower one.
  const std::uint64_t seed = GENERATE(1, 2, 3);
  quota_model model(daemons, usual_workspaces(), seed);
  const std::vector<quota_model::demand> demands = {
      demand_of(0, daemons, 3'000), demand_of(1, daemons, 30), demand_of(2, 5, 800)};
  model.run(std::chrono::seconds(8), seed == 1 ? std::vector<quota_model::demand>{} : demands);
  model.configure({workspace("large", 100, 20), workspace("small", 1, 0), workspace("other", 8, 4)},
                  std::chrono::seconds(2));
  model.run(std::chrono::seconds(2), {});
  model.run(std::chrono::seconds(10), demands);
  CHECK(model.over_limit == 0);
}

TEST_CASE("the demand is admitted again after the coordinators were lost", "[quota]") {
  // Failure guarded against: shares that stay with a coordinator that has ended.
  quota_model model(daemons, usual_workspaces(), 4);
  const std::vector<quota_model::demand> demands = {demand_of(0, daemons, 600)};
  model.run(settling_time, demands);
  for (std::size_t daemon = 0; daemon < 20; ++daemon) {
    model.kill(daemon);
  }
  model.run(std::chrono::seconds(4), demands);
  model.reset_results();
  // The shares of the killed daemons are lost, as long as they are listed in the store.
  model.run(std::chrono::seconds(5), demands);
  CHECK(model.results[0].share() > 0.99);
  CHECK(model.over_limit == 0);
}

}  // namespace crocusdoor

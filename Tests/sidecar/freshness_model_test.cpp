#include <catch2/catch.hpp>

#include "configuration_model.h"

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr fleet_options large_fleet{20, true};

std::string describe_admission(const configuration_model& model) {
  const late_version late = model.revoked().value_or(late_version{});
  return late.instance.str() + " admitted the keys of version " + std::to_string(late.current) +
         " instead of " + std::to_string(late.expected) + " after " +
         std::to_string(to_ms(late.seen_at)) + " ms";
}

/// Smallest number of instances that admit keys at any time during `span`.
std::size_t least_admitting(configuration_model& model, duration span) {
  std::size_t least = model.size();
  for (duration at = duration::zero(); at < span; at += milliseconds(100)) {
    model.run_for(milliseconds(100));
    least = std::min(least, model.admitting());
  }
  return least;
}

std::vector<std::size_t> all_watchers(const configuration_model& model) {
  std::vector<std::size_t> found;
  for (std::size_t domain = 0; domain < 3; ++domain) {
    const std::vector<std::size_t> watchers = model.watchers_of(domain);
    found.insert(found.end(), watchers.begin(), watchers.end());
  }
  return found;
}

}  // namespace

TEST_CASE("60 daemons keep their proofs recent with few store calls", "[sidecar]") {
  configuration_model model(1, large_fleet);
  const int calls_before = model.store_calls();

  SECTION("without changes") {
    CHECK(least_admitting(model, seconds(20)) == model.size());
    // Six watchers end about three watches a second, and 54 daemons read every 20 seconds.
    CHECK(model.store_calls() - calls_before <= 20 * 7);
  }
  SECTION("with a series of versions") {
    model.write_series(seconds(5), milliseconds(200));
    CHECK(least_admitting(model, seconds(15)) == model.size());
  }
  SECTION("while the store rejects a third of them") {
    std::vector<std::size_t> rejected;
    for (std::size_t instance = 0; instance < model.size(); instance += 3) {
      rejected.push_back(instance);
    }
    model.restrict_access(rejected, store_access::refused, seconds(20));
    CHECK(least_admitting(model, seconds(20)) == model.size());
  }
  SECTION("while the store rejects all watchers") {
    model.restrict_access(all_watchers(model), store_access::refused, seconds(20));
    CHECK(least_admitting(model, seconds(20)) == model.size());
    CHECK(model.store_calls() - calls_before <= 20 * 20);
  }
  INFO(describe_admission(model));
  CHECK_FALSE(model.revoked().has_value());
}

TEST_CASE("a daemon that is cut off from everything stops admitting keys in time", "[sidecar]") {
  configuration_model model(2, large_fleet);
  model.isolate(7, seconds(10));
  model.restrict_access({7}, store_access::silent, seconds(10));
  model.write_version();
  model.run_for(seconds(6));
  CHECK_FALSE(model.at(7).admits());
  CHECK(model.admitting() == model.size() - 1);
  model.run_for(seconds(8));
  CHECK(model.admitting() == model.size());
  INFO(describe_admission(model));
  CHECK_FALSE(model.revoked().has_value());
}

TEST_CASE("no daemon admits keys for long while the store answers nobody", "[sidecar]") {
  configuration_model model(3, large_fleet);
  std::vector<std::size_t> all;
  for (std::size_t instance = 0; instance < model.size(); ++instance) {
    all.push_back(instance);
  }
  model.restrict_access(all, store_access::silent, seconds(12));
  model.write_version();
  model.run_for(seconds(5));
  CHECK(model.admitting() == 0);
  model.run_for(seconds(12));
  CHECK(model.admitting() == model.size());
  INFO(describe_admission(model));
  CHECK_FALSE(model.revoked().has_value());
}

TEST_CASE("daemons that restart have no proof until a peer or the store gives one", "[sidecar]") {
  configuration_model model(4, large_fleet);
  for (std::size_t instance = 0; instance < model.size(); ++instance) {
    model.kill(instance, milliseconds(300), false);
  }
  CHECK(model.admitting() == 0);
  model.run_for(seconds(4));
  CHECK(model.admitting() == model.size());
}

TEST_CASE("a store that is restored from an older copy makes no removed key valid", "[sidecar]") {
  configuration_model model(5, large_fleet);
  model.write_version();
  model.run_for(milliseconds(600));
  model.restore_older_copy(seconds(14));
  model.run_for(seconds(5));
  // The older version is the first one that this daemon reads, and its keys must not run any more.
  // It starts between two checks of the links, so the store answers it before a peer does.
  model.kill(3, milliseconds(310), false);
  model.run_for(seconds(8));
  CHECK(model.admitting() == model.size());
  model.run_for(seconds(7));
  CHECK(model.admitting() == model.size());
  INFO(describe_admission(model));
  CHECK_FALSE(model.revoked().has_value());
}

TEST_CASE("no removed key is admitted too late during overlapping faults", "[sidecar]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    configuration_model model(seed, {0, true});
    // The random faults seldom cut a daemon off from the store and its peers at the same time.
    const std::size_t cut_off = seed % model.size();
    model.isolate(cut_off, seconds(9));
    model.restrict_access({cut_off}, store_access::silent, seconds(9));
    model.run_random_scenario();
    INFO("seed " << seed << ": " << describe_admission(model));
    CHECK_FALSE(model.revoked().has_value());
    CHECK(model.admitting() == model.size());
  }
}

}  // namespace crocusdoor

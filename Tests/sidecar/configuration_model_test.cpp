#include <catch2/catch.hpp>

#include "configuration_model.h"

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Describes the first version that was adopted too late, for the output of a failed test.
std::string describe_late_version(const configuration_model& model) {
  const late_version late = model.late().value_or(late_version{});
  return late.instance.str() + " had version " + std::to_string(late.current) + " instead of " +
         std::to_string(late.expected);
}

}  // namespace

TEST_CASE(
    "a sidecar adopts a series of versions in time while the store does not serve its watchers",
    "[sidecar][P9]") {
  configuration_model model(1);
  for (const store_access access : {store_access::refused, store_access::silent}) {
    model.restrict_access(model.watchers_of(0), access, seconds(9));
    model.run_for(seconds(1));
    model.write_series(seconds(5), milliseconds(200));
    model.run_for(seconds(14));
  }
  INFO(describe_late_version(model));
  CHECK_FALSE(model.late().has_value());
}

TEST_CASE("a store call without a response does not delay the request to a peer", "[sidecar][P9]") {
  // The store responds to no instance of the failure domain, so the peer must be in another domain.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    configuration_model model(seed);
    model.restrict_access(model.domain(1), store_access::silent, seconds(6));
    model.write_version();
    model.run_for(seconds(12));
    INFO("seed " << seed << ": " << describe_late_version(model));
    CHECK_FALSE(model.late().has_value());
  }
}

TEST_CASE("single versions are adopted in time without faults", "[sidecar][P9]") {
  configuration_model model(2);
  for (int i = 0; i < 10; ++i) {
    model.write_version();
    model.run_for(milliseconds(2'500));
  }
  INFO(describe_late_version(model));
  CHECK_FALSE(model.late().has_value());
}

TEST_CASE("versions are adopted in time during overlapping faults", "[sidecar][P1][P9]") {
  // Runs a few of the seeds of configuration_sweep, which runs thousands.
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    configuration_model model(seed);
    model.run_random_scenario();
    INFO("seed " << seed << ": " << describe_late_version(model));
    CHECK_FALSE(model.late().has_value());
    CHECK(model.overlapping_watches() == 0);
  }
}

}  // namespace crocusdoor

#include <catch2/catch.hpp>

#include "configuration_model.h"

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The first late instance and what it lacked, for the output of a test that fails.
std::string described(const configuration_model& model) {
  const late_version late = model.late().value_or(late_version{});
  return late.instance.str() + " held " + std::to_string(late.held) + ", not " +
         std::to_string(late.expected);
}

}  // namespace

TEST_CASE(
    "a series of versions does not keep a sidecar behind while the store turns its watchers away",
    "[sidecar][P9]") {
  configuration_model model(1);
  for (const store_access access : {store_access::refused, store_access::silent}) {
    model.turn_away(model.watchers_of(0), access, seconds(9));
    model.run_for(seconds(1));
    model.write_series(seconds(5), milliseconds(200));
    model.run_for(seconds(14));
  }
  INFO(described(model));
  CHECK_FALSE(model.late().has_value());
}

TEST_CASE("a call of the store that hangs does not keep a sidecar from asking a peer",
          "[sidecar][P9]") {
  // All of a failure domain are turned away, so the peer must be one of another domain.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    configuration_model model(seed);
    model.turn_away(model.domain(1), store_access::silent, seconds(6));
    model.write_version();
    model.run_for(seconds(12));
    INFO("seed " << seed << ": " << described(model));
    CHECK_FALSE(model.late().has_value());
  }
}

TEST_CASE("single versions are in force in time on a calm day", "[sidecar][P9]") {
  configuration_model model(2);
  for (int i = 0; i < 10; ++i) {
    model.write_version();
    model.run_for(milliseconds(2'500));
  }
  INFO(described(model));
  CHECK_FALSE(model.late().has_value());
}

TEST_CASE("versions are in force in time on days of overlapping faults", "[sidecar][P1][P9]") {
  // A short run of configuration_sweep, which plays days by the thousand.
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    configuration_model model(seed);
    model.run_random_day();
    INFO("seed " << seed << ": " << described(model));
    CHECK_FALSE(model.late().has_value());
    CHECK(model.overlapping_watches() == 0);
  }
}

}  // namespace crocusdoor

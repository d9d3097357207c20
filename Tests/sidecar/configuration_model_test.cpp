#include <catch2/catch.hpp>

#include "configuration_model.h"

namespace crocusdoor {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
  INFO(model.late().value_or(late_version{}).instance.str() << " is late");
  CHECK_FALSE(model.late().has_value());
}

TEST_CASE("single versions are in force in time on a calm day", "[sidecar][P9]") {
  configuration_model model(2);
  for (int i = 0; i < 10; ++i) {
    model.write_version();
    model.run_for(milliseconds(2'500));
  }
  CHECK_FALSE(model.late().has_value());
}

}  // namespace crocusdoor

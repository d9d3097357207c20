#include "mesh/store_era.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

TEST_CASE("the era of the store", "[mesh]") {
  store_era era;
  CHECK(era.observe(std::nullopt) == era_relation::current);
  CHECK_FALSE(era.newest().has_value());

  SECTION("may begin at 0") {
    // Failure guarded against: the change from 0 to 1 counted as the first era that is stated.
    CHECK(era.observe(0) == era_relation::current);
    CHECK(era.observe(1) == era_relation::newer);
    CHECK(era.observe(0) == era_relation::outdated);
  }
}

TEST_CASE("an era of the store that is known", "[mesh]") {
  store_era era;
  CHECK(era.observe(4) == era_relation::current);

  SECTION("is not changed by messages of the same era or of none") {
    CHECK(era.observe(4) == era_relation::current);
    CHECK(era.observe(std::nullopt) == era_relation::current);
    CHECK(era.newest() == 4);
  }
  SECTION("rises once, and older messages are outdated from then on") {
    CHECK(era.observe(5) == era_relation::newer);
    CHECK(era.observe(5) == era_relation::current);
    CHECK(era.observe(4) == era_relation::outdated);
    CHECK(era.newest() == 5);
  }
  SECTION("may rise by several at once") {
    CHECK(era.observe(9) == era_relation::newer);
    CHECK(era.observe(8) == era_relation::outdated);
  }
}

}  // namespace crocusdoor

#include "run_once/shard_log.h"

#include <catch2/catch.hpp>

#include "shard_story.h"

namespace crocusdoor::testing {

using namespace std::chrono_literals;

TEST_CASE("an operation is executed once and its answer repeated", "[P6]") {
  platform_model platform;
  shard_story owner(platform);
  owner.take();
  owner.claim(1, "k");
  REQUIRE(owner.decision(1) == claim_decision::granted);
  CHECK(owner.claims[1].granted->operation == payout("k"));

  SECTION("another body under the same key is a conflict") {
    owner.claim(2, "k", "200");
    CHECK(owner.decision(2) == claim_decision::conflict);
  }

  SECTION("a repeat waits while the first is running") {
    owner.claim(2, "k");
    CHECK_FALSE(owner.answered(2));

    SECTION("and gets its recorded answer") {
      owner.complete(3, 1, verdict::ran);
      CHECK(owner.completions.at(3).recorded);
      REQUIRE(owner.decision(2) == claim_decision::answered);
      CHECK(owner.claims[2].answer->body.bytes == "paid");

      SECTION("which a repeated completion does not change") {
        owner.complete(4, 1, verdict::ran, "paid twice");
        CHECK(owner.completions.at(4).recorded);
        owner.claim(5, "k");
        CHECK(owner.claims[5].answer->body.bytes == "paid");
      }
    }

    SECTION("and gets a claim of its own if the first has not run") {
      owner.complete(3, 1, verdict::not_run);
      REQUIRE(owner.decision(2) == claim_decision::granted);
      CHECK(owner.claims[2].granted->id != owner.claims[1].granted->id);

      SECTION("after which the first claim counts for nothing") {
        owner.complete(4, 1, verdict::ran);
        CHECK_FALSE(owner.completions.at(4).recorded);
      }
    }

    SECTION("no longer than its own deadline") {
      owner.pass(6s);
      CHECK(owner.decision(2) == claim_decision::in_progress);
    }

    SECTION("and is told that it may have run if nobody knows") {
      owner.complete(3, 1, verdict::may_have_run);
      CHECK(owner.decision(2) == claim_decision::in_doubt);
    }
  }
}

}  // namespace crocusdoor::testing

#include "run_once/shard_log.h"

#include <catch2/catch.hpp>

#include "shard_fixture.h"

namespace crocusdoor::testing {

using namespace std::chrono_literals;

TEST_CASE("an operation is executed once and repeated requests get its response", "[P6]") {
  platform_model platform;
  shard_fixture owner(platform);
  owner.take_ownership();
  owner.request_claim(1, "k");
  REQUIRE(owner.decision(1) == claim_decision::granted);
  CHECK(owner.claim_responses[1].granted->operation == payout("k"));

  SECTION("a request with the same key and another body is a conflict") {
    owner.request_claim(2, "k", "200");
    CHECK(owner.decision(2) == claim_decision::conflict);
  }

  SECTION("a repeated request waits while the first one is running") {
    owner.request_claim(2, "k");
    CHECK_FALSE(owner.has_claim_response(2));

    SECTION("the waiting request gets the recorded response") {
      owner.complete(3, 1, verdict::ran);
      CHECK(owner.completions.at(3).recorded);
      REQUIRE(owner.decision(2) == claim_decision::answered);
      CHECK(owner.claim_responses[2].answer->body.bytes == "paid");

      SECTION("a repeated completion does not change the recorded response") {
        owner.complete(4, 1, verdict::ran, "paid twice");
        CHECK(owner.completions.at(4).recorded);
        owner.request_claim(5, "k");
        CHECK(owner.claim_responses[5].answer->body.bytes == "paid");
      }
    }

    SECTION("the waiting request gets a new claim if the first one has not run") {
      owner.complete(3, 1, verdict::not_run);
      REQUIRE(owner.decision(2) == claim_decision::granted);
      CHECK(owner.claim_responses[2].granted->id != owner.claim_responses[1].granted->id);

      SECTION("a completion of the replaced claim is not recorded") {
        owner.complete(4, 1, verdict::ran);
        CHECK_FALSE(owner.completions.at(4).recorded);
      }
    }

    SECTION("the waiting request is answered in_progress at its deadline") {
      owner.advance_clock(6s);
      CHECK(owner.decision(2) == claim_decision::in_progress);
    }

    SECTION("the waiting request is in doubt if the outcome of the first one is unknown") {
      owner.complete(3, 1, verdict::may_have_run);
      CHECK(owner.decision(2) == claim_decision::in_doubt);
    }
  }
}

}  // namespace crocusdoor::testing

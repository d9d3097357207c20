#include "mesh/target_exchange.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

TEST_CASE("only what a target proves counts as not run", "[mesh][P5][P6]") {
  // Failure guarded against: a request that may have run is refused as not run, or sent once more.
  const target_exchange proofs_of_not_run[] = {target_exchange::declared_not_run,
                                               target_exchange::another_target,
                                               target_exchange::not_connected};
  for (const target_exchange end : proofs_of_not_run) {
    CHECK(proof_of(end).outcome == verdict::not_run);
    CHECK_FALSE(proof_of(end).deliverable);
  }
  const target_exchange uncertain[] = {target_exchange::unsealed_success,
                                       target_exchange::connection_lost, target_exchange::garbled,
                                       target_exchange::timed_out};
  for (const target_exchange end : uncertain) {
    CHECK(proof_of(end).outcome == verdict::may_have_run);
    CHECK_FALSE(proof_of(end).deliverable);
    CHECK(proof_of(end).may_have_arrived);
  }
  for (const target_exchange end : {target_exchange::success, target_exchange::failure}) {
    CHECK(proof_of(end) == exchange_proof{verdict::ran, true, true});
  }
}

TEST_CASE("a request that did not reach the target draws on no retry budget", "[mesh]") {
  CHECK(proof_of(target_exchange::declared_not_run).may_have_arrived);
  CHECK_FALSE(proof_of(target_exchange::another_target).may_have_arrived);
  CHECK_FALSE(proof_of(target_exchange::not_connected).may_have_arrived);
}

}  // namespace crocusdoor

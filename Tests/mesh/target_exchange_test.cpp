#include "mesh/target_exchange.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

TEST_CASE("a request counts as not run only if the end of the exchange proves it",
          "[mesh][P5][P6]") {
  // Guards against a request that may have run but is refused as not run, or is sent again.
  const target_exchange proofs_of_not_run[] = {target_exchange::declared_not_run,
                                               target_exchange::another_target,
                                               target_exchange::not_connected};
  for (const target_exchange exchange_end : proofs_of_not_run) {
    CHECK(proof_of(exchange_end).outcome == verdict::not_run);
    CHECK_FALSE(proof_of(exchange_end).deliverable);
  }
  const target_exchange uncertain[] = {target_exchange::unsealed_success,
                                       target_exchange::connection_lost, target_exchange::garbled,
                                       target_exchange::timed_out};
  for (const target_exchange exchange_end : uncertain) {
    CHECK(proof_of(exchange_end).outcome == verdict::may_have_run);
    CHECK_FALSE(proof_of(exchange_end).deliverable);
    CHECK(proof_of(exchange_end).may_have_arrived);
  }
  for (const target_exchange exchange_end : {target_exchange::success, target_exchange::failure}) {
    CHECK(proof_of(exchange_end) == exchange_proof{verdict::ran, true, true});
  }
}

TEST_CASE("the end of an exchange shows whether the request may have arrived", "[mesh]") {
  // A request that did not reach the target does not draw on the retry budget.
  CHECK(proof_of(target_exchange::declared_not_run).may_have_arrived);
  CHECK_FALSE(proof_of(target_exchange::another_target).may_have_arrived);
  CHECK_FALSE(proof_of(target_exchange::not_connected).may_have_arrived);
}

}  // namespace crocusdoor

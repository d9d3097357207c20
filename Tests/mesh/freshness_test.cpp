#include "mesh/freshness.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(100)};

freshness make_freshness() {
  freshness_limits limits;
  limits.admission = milliseconds(4'700);
  freshness proof(limits);
  proof.set_current_version(5);
  return proof;
}

}  // namespace

TEST_CASE("requests with keys are admitted until the proof of the configuration is too old",
          "[mesh]") {
  freshness proof = make_freshness();
  CHECK(proof.proof(start) == configuration_proof{false, false});
  proof.trust_store();
  proof.proved_by_store(5, start);
  CHECK(proof.proof(start + milliseconds(999)) == configuration_proof{true, true});
  CHECK(proof.proof(start + milliseconds(1'000)) == configuration_proof{true, false});
  CHECK(proof.proof(start + milliseconds(4'699)).admits);
  CHECK_FALSE(proof.proof(start + milliseconds(4'700)).admits);

  SECTION("an older proof that arrives later changes nothing") {
    proof.proved_by_peer(5, start - seconds(3));
    CHECK(proof.age(start) == duration::zero());
  }
  SECTION("a proof of an older version also proves the current one") {
    proof.proved_by_peer(4, start + seconds(1));
    CHECK(proof.age(start + seconds(2)) == seconds(1));
  }
  SECTION("a proof of a newer version counts once that version is current") {
    proof.proved_by_peer(6, start + seconds(2));
    CHECK(proof.age(start + seconds(2)) == seconds(2));
    CHECK_FALSE(proof.proof(start).denies);
    proof.set_current_version(6);
    CHECK(proof.age(start + seconds(2)) == duration::zero());
    CHECK(proof.proof(start + seconds(2)).denies);
  }
  SECTION("no proof is added while a newer version is known") {
    proof.version_reported(6);
    proof.proved_by_store(5, start + seconds(2));
    proof.proved_by_peer(5, start + seconds(2));
    CHECK(proof.age(start + seconds(2)) == seconds(2));
    CHECK_FALSE(proof.proof(start).denies);
  }
}

TEST_CASE("without a limit the proofs decide only on denials", "[mesh]") {
  freshness proof({});
  proof.set_current_version(5);
  CHECK(proof.proof(start) == configuration_proof{true, false});
}

TEST_CASE("after a start the store counts only together with a peer", "[mesh]") {
  // Failure guarded against: a store that was restored from an older copy makes a removed key valid
  // again at a daemon that has just started.
  freshness proof = make_freshness();
  proof.proved_by_store(5, start);
  CHECK_FALSE(proof.proof(start).admits);

  SECTION("a peer without a newer version confirms the store, also without a proof of its own") {
    proof.proved_by_peer(5, std::nullopt);
    CHECK(proof.proof(start).admits);
  }
  SECTION("a peer without a configuration confirms nothing") {
    proof.proved_by_peer(0, std::nullopt);
    CHECK_FALSE(proof.proof(start).admits);
  }
  SECTION("a peer with a newer version shows that the store is outdated") {
    proof.proved_by_peer(6, std::nullopt);
    CHECK_FALSE(proof.proof(start).admits);
    proof.set_current_version(6);
    CHECK_FALSE(proof.proof(start).admits);
  }
  SECTION("without any peer the store counts alone") {
    proof.trust_store();
    CHECK(proof.proof(start).admits);
  }
}

TEST_CASE("a store that shows an older version than before counts only together with a peer",
          "[mesh]") {
  freshness proof = make_freshness();
  proof.trust_store();
  proof.proved_by_store(5, start);
  proof.proved_by_store(4, start + seconds(1));
  CHECK(proof.age(start + seconds(1)) == seconds(1));
  proof.proved_by_peer(5, std::nullopt);
  CHECK(proof.age(start + seconds(1)) == duration::zero());
}

}  // namespace crocusdoor

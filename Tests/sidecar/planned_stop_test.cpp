#include "sidecar/planned_stop.h"

#include <unistd.h>

#include <catch2/catch.hpp>

#include "linked_daemon.h"

namespace crocusdoor {

TEST_CASE("a sidecar that stops waits until its peers have the responses of its target",
          "[sidecar][P5][P8]") {
  // Failure guarded against: the sidecar of an upstream ended with a response in its link, and the
  // caller's sidecar responded 502 in its place (rule LOST).
  linked_pair pair;
  REQUIRE(pair.daemon.mesh().linked(pair.peer_name));
  http_server callers(pair.loop, {"127.0.0.1", 0}, [](const auto&) {});
  metrics counters;
  sidecar_log_settings log_settings;
  log_settings.minimum_level = log_level::error;
  decision_log log(pair.loop, "daemon", log_settings, STDOUT_FILENO);
  inbound_work work({pair.loop, log, counters, "X-Attempt-Id"}, {});
  unclaimed_responses unclaimed;
  planned_stop stop({pair.loop, log, callers, work, pair.daemon.mesh(), unclaimed},
                    std::chrono::seconds(6));
  bool stopped = false;
  const auto run_for_or_stop = [&](duration span) {
    const time_point end = pair.loop.now() + span;
    run_for(pair.loop, span);
    stopped = stopped || pair.loop.now() < end;
  };

  SECTION("a peer that reads late") {
    REQUIRE(pair.hold_response());
    stop.begin();
    run_for_or_stop(std::chrono::milliseconds(4'000));
    CHECK_FALSE(stopped);
    for (int turn = 0; turn < 100 && !stopped; ++turn) {
      run_for_or_stop(std::chrono::milliseconds(10));
      run_for(pair.peer_loop, std::chrono::milliseconds(10));
    }
    CHECK(stopped);
  }
  SECTION("a peer that never reads") {
    REQUIRE(pair.hold_response());
    stop.begin();
    run_for_or_stop(std::chrono::milliseconds(5'000));
    CHECK_FALSE(stopped);
    run_for_or_stop(std::chrono::milliseconds(1'000));
    CHECK(stopped);
  }
  SECTION("a peer whose link was lost with a response may ask for the outcome") {
    stop.begin();
    run_for_or_stop(std::chrono::milliseconds(2'900));
    unclaimed.lost(pair.peer_name, pair.loop.now());
    run_for_or_stop(std::chrono::milliseconds(1'500));
    CHECK_FALSE(stopped);
    SECTION("and asks") {
      unclaimed.claimed(pair.peer_name);
      run_for_or_stop(std::chrono::milliseconds(400));
      CHECK(stopped);
    }
    SECTION("and does not") {
      run_for_or_stop(std::chrono::milliseconds(900));
      CHECK(stopped);
    }
  }
  SECTION("no peer has a response due") {
    stop.begin();
    run_for_or_stop(std::chrono::milliseconds(4'000));
    CHECK(stopped);
  }
}

}  // namespace crocusdoor

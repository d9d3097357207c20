#include "sidecar/planned_stop.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>

#include "linked_daemon.h"
#include "raw_connection.h"

namespace crocusdoor {

namespace {

/// The stop of a daemon that has one link and 6 s until it is killed.
struct stopping_daemon : linked_pair {
  /// Runs the loop for a while, or until the stop is complete.
  void run_for_or_stop(duration span) { stopped = run_for(loop, span) || stopped; }

  static sidecar_log_settings log_settings() {
    sidecar_log_settings settings;
    settings.minimum_level = log_level::error;
    return settings;
  }

  http_server callers{loop, {"127.0.0.1", 0}, [](const auto&) {}};
  std::shared_ptr<http_exchange> departure;  ///< The request at the registration address.
  http_server registration{
      loop, {"127.0.0.1", 0}, [this](const auto& exchange) { departure = exchange; }};
  metrics counters;
  decision_log log{loop, "daemon", log_settings(), STDOUT_FILENO};
  inbound_work work{{loop, log, counters, "X-Attempt-Id"}, {}};
  unclaimed_responses unclaimed;
  planned_stop stop{{loop, log, callers, registration, work, daemon.mesh(), unclaimed},
                    std::chrono::seconds(6)};
  bool stopped = false;
};

}  // namespace

TEST_CASE("a sidecar that stops waits until its peers have the responses of its target",
          "[sidecar][P5][P8]") {
  // Failure guarded against: the sidecar of an upstream ended with a response in its link, and the
  // caller's sidecar responded 502 in its place (rule LOST).
  stopping_daemon sidecar;
  REQUIRE(sidecar.daemon.mesh().linked(sidecar.peer_name));

  SECTION("a peer that reads late") {
    REQUIRE(sidecar.hold_response());
    sidecar.stop.begin();
    sidecar.run_for_or_stop(std::chrono::milliseconds(4'000));
    CHECK_FALSE(sidecar.stopped);
    for (int turn = 0; turn < 100 && !sidecar.stopped; ++turn) {
      sidecar.run_for_or_stop(std::chrono::milliseconds(10));
      run_for(sidecar.peer_loop, std::chrono::milliseconds(10));
    }
    CHECK(sidecar.stopped);
  }
  SECTION("a peer that never reads") {
    REQUIRE(sidecar.hold_response());
    sidecar.stop.begin();
    sidecar.run_for_or_stop(std::chrono::milliseconds(5'000));
    CHECK_FALSE(sidecar.stopped);
    sidecar.run_for_or_stop(std::chrono::milliseconds(1'000));
    CHECK(sidecar.stopped);
  }
  SECTION("a peer whose link was lost with a response may ask for the outcome") {
    sidecar.stop.begin();
    sidecar.run_for_or_stop(std::chrono::milliseconds(2'900));
    sidecar.unclaimed.lost(sidecar.peer_name, sidecar.loop.now());
    sidecar.run_for_or_stop(std::chrono::milliseconds(1'500));
    CHECK_FALSE(sidecar.stopped);
    SECTION("and asks") {
      sidecar.unclaimed.claimed(sidecar.peer_name);
      sidecar.run_for_or_stop(std::chrono::milliseconds(400));
      CHECK(sidecar.stopped);
    }
    SECTION("and does not") {
      sidecar.run_for_or_stop(std::chrono::milliseconds(900));
      CHECK(sidecar.stopped);
    }
  }
  SECTION("no peer has a response due") {
    sidecar.stop.begin();
    sidecar.run_for_or_stop(std::chrono::milliseconds(4'000));
    CHECK(sidecar.stopped);
  }
}

TEST_CASE("a sidecar that stops waits until its target has the acknowledgement of its departure",
          "[sidecar][P7][P8]") {
  // Failure guarded against: the sidecar ended while the store was taking the departure, and the
  // target got no acknowledgement.
  stopping_daemon sidecar;
  const auto target = std::make_unique<raw_connection>(sidecar.registration.port());
  target->write("DELETE / HTTP/1.1\r\nHost: h\r\n\r\n");
  sidecar.stop.begin();
  sidecar.run_for_or_stop(std::chrono::milliseconds(4'000));
  CHECK_FALSE(sidecar.stopped);
  REQUIRE(sidecar.departure != nullptr);
  sidecar.departure->respond({200, {}, "done"});
  sidecar.run_for_or_stop(std::chrono::milliseconds(500));
  CHECK(sidecar.stopped);
  CHECK(target->received().ends_with("done"));
}

}  // namespace crocusdoor

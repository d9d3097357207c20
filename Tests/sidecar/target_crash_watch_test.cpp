#include "sidecar/target_crash_watch.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "virtual_timers.h"

namespace crocusdoor {

using namespace std::chrono_literals;

namespace {

const digest request = digest_of("request");
constexpr std::uint64_t first_start = 1'000;
constexpr std::uint64_t second_start = 2'000;

/// A watch whose probes end when the test says so.
struct watched_target {
  virtual_timers timers;
  std::optional<time_point> oldest_connection;
  std::vector<std::function<void(probe_result)>> probes;
  std::size_t suspected = 0;      ///< Exchanges reported as possible crashes.
  std::vector<std::size_t> ends;  ///< Requests in flight at each end of the target.
  std::vector<crash_evidence> evidence;
  std::size_t taken_back = 0;  ///< Suspected exchanges that the target has survived.
  std::vector<survival_evidence> signs_of_life;
  std::size_t released = 0;
  target_crash_watch watch{timers,
                           {[this](std::function<void(probe_result)> done) {
                              probes.push_back(std::move(done));
                              return std::make_shared<int>();
                            },
                            [this] { return oldest_connection; },
                            [this](const lost_exchanges& lost) { suspected += lost.size(); },
                            [this](const lost_exchanges& lost, crash_evidence seen) {
                              ends.push_back(lost.size());
                              evidence.push_back(seen);
                            },
                            [this](const lost_exchanges& lost, survival_evidence seen) {
                              for (const lost_exchange& exchange : lost) {
                                taken_back += exchange.suspected ? 1 : 0;
                              }
                              signs_of_life.push_back(seen);
                            }}};

  void lose_exchange(const digest& lost = request) {
    watch.exchange_lost({lost, {{lost, 0, 0}}, first_start, timers.now()}, [this] { ++released; });
  }

  void end_probe(probe_result result) { probes.back()(result); }

  /// Ends all probes with the same result while time passes.
  void run_for(duration span, probe_result result) {
    for (duration passed = 0ms; passed < span; passed += 5ms) {
      timers.run_for(5ms);
      if (answered_ < probes.size()) {
        answered_ = probes.size();
        end_probe(result);
      }
    }
  }

 private:
  std::size_t answered_ = 0;
};

}  // namespace

TEST_CASE("a lost connection counts as a crash only with proof that the target has ended",
          "[sidecar][F6]") {
  watched_target target;
  target.timers.run_for(10s);
  target.lose_exchange();
  target.lose_exchange(digest_of("another request"));
  REQUIRE(target.probes.size() == 1);
  CHECK(target.released == 0);

  SECTION("nobody listens at its address: all requests in flight are reported once") {
    target.end_probe(probe_result::refused);
    CHECK(target.ends == std::vector<std::size_t>{2});
    CHECK(target.released == 2);
    target.watch.heartbeat_received(second_start);
    target.timers.run_for(10s);
    CHECK(target.ends.size() == 1);
    CHECK(target.suspected == 0);
  }
  SECTION("an older connection is open: only a connection was reset, which is no crash") {
    target.oldest_connection = target.timers.now() - 1s;
    target.end_probe(probe_result::accepted);
    CHECK(target.released == 2);
    CHECK(target.suspected == 0);

    SECTION("if it is still open a while later") {
      target.timers.run_for(2s);
      CHECK(target.signs_of_life ==
            std::vector<survival_evidence>{survival_evidence::older_connection});
      target.watch.heartbeat_received(second_start);
      CHECK(target.ends.empty());
    }
    SECTION("unless the address refuses connections soon after") {
      target.oldest_connection.reset();
      target.run_for(600ms, probe_result::refused);
      CHECK(target.ends == std::vector<std::size_t>{2});
    }
    SECTION("unless a heartbeat of a later start shows that it had been restarted by then") {
      target.watch.heartbeat_received(second_start);
      CHECK(target.evidence == std::vector<crash_evidence>{crash_evidence::later_start});
    }
  }
  SECTION("a connection opened after the loss shows nothing of the process before") {
    target.timers.run_for(10ms);
    target.oldest_connection = target.timers.now();
    target.run_for(300ms, probe_result::accepted);
    CHECK(target.suspected == 2);
  }
}

TEST_CASE("a target without a sign of life counts as a possible crash until something settles it",
          "[sidecar][F6]") {
  watched_target target;
  target.timers.run_for(10s);
  target.lose_exchange();

  SECTION("its address accepts connections for another instant") {
    target.end_probe(probe_result::accepted);
    CHECK(target.released == 0);
    target.run_for(30ms, probe_result::refused);
    CHECK(target.released == 1);
    CHECK(target.suspected == 0);
    CHECK(target.evidence == std::vector<crash_evidence>{crash_evidence::connection_refused});
  }
  SECTION("its address accepts connections or is silent for longer") {
    const probe_result result = GENERATE(probe_result::accepted, probe_result::unknown);
    target.run_for(100ms, result);
    CHECK(target.released == 1);
    CHECK(target.suspected == 1);
    CHECK(target.ends.empty());

    SECTION("and a later start, however late, shows that it has ended") {
      target.run_for(60s, result);
      target.watch.heartbeat_received(second_start);
      CHECK(target.ends == std::vector<std::size_t>{1});
      CHECK(target.taken_back == 0);
    }
    SECTION("and a heartbeat of the same start shows that it has survived") {
      target.run_for(1500ms, result);
      target.watch.heartbeat_received(first_start);
      CHECK(target.taken_back == 1);
      target.watch.heartbeat_received(second_start);
      CHECK(target.ends.empty());
    }
    SECTION("and a heartbeat that may have been sent before the loss shows nothing") {
      target.watch.heartbeat_received(first_start);
      CHECK(target.taken_back == 0);
      target.watch.heartbeat_received(second_start);
      CHECK(target.ends == std::vector<std::size_t>{1});
    }
    SECTION("and the end of a target that leaves is planned") {
      target.watch.target_leaving();
      CHECK(target.taken_back == 1);
      target.watch.heartbeat_received(second_start);
      CHECK(target.ends.empty());
    }
    SECTION("and no connections are opened to it any more once that is known") {
      target.watch.heartbeat_received(second_start);
      const std::size_t probes = target.probes.size();
      target.run_for(10s, result);
      CHECK(target.probes.size() == probes);
    }
  }
  SECTION("and several losses of a request at one start of the target are one crash at most") {
    target.run_for(200ms, probe_result::accepted);
    target.lose_exchange();
    target.run_for(200ms, probe_result::accepted);
    CHECK(target.released == 2);
    CHECK(target.suspected == 1);

    SECTION("which is taken back once") {
      target.run_for(2s, probe_result::accepted);
      target.watch.heartbeat_received(first_start);
      CHECK(target.taken_back == 1);
    }
  }
  SECTION("the probe ends only after the time for which a response may wait") {
    target.timers.run_for(100ms);
    CHECK(target.released == 1);
    CHECK(target.suspected == 1);
  }
}

TEST_CASE("the number of lost exchanges is limited, and each is released", "[sidecar][F12]") {
  constexpr std::size_t lost = 1'000;
  watched_target target;
  for (std::size_t count = 0; count < lost; ++count) {
    target.lose_exchange();
  }
  CHECK(target.released > 0);
  target.timers.run_for(1s);
  CHECK(target.released == lost);
}

}  // namespace crocusdoor

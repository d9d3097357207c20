#include "sidecar/target_crash_watch.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "virtual_timers.h"

namespace crocusdoor {

using namespace std::chrono_literals;

namespace {

const digest request = digest_of("request");

/// A watch whose probes end when the test says so.
struct watched_target {
  virtual_timers timers;
  std::vector<std::function<void(probe_result)>> probes;
  std::vector<std::size_t> ends;  ///< Requests in flight at each end of the target.
  std::vector<crash_evidence> evidence;
  std::map<std::string, std::size_t> forgotten;  ///< Exchanges not taken for a crash, by reason.
  std::size_t settled = 0;
  target_crash_watch watch{
      timers,
      {[this](std::function<void(probe_result)> done) {
         probes.push_back(std::move(done));
         return std::make_shared<int>();
       },
       [this](const std::vector<lost_exchange>& in_flight, crash_evidence seen) {
         ends.push_back(in_flight.size());
         evidence.push_back(seen);
       },
       [this](std::size_t exchanges, const std::string& reason) {
         forgotten[reason] += exchanges;
       }}};

  void lose_exchange() {
    watch.exchange_lost({request, {request, 0, 0}, timers.now()}, [this] { ++settled; });
  }
};

}  // namespace

TEST_CASE("a lost connection counts as a crash only with proof that the target has ended",
          "[sidecar][F6]") {
  watched_target target;
  target.lose_exchange();
  target.lose_exchange();
  REQUIRE(target.probes.size() == 1);
  CHECK(target.settled == 0);

  SECTION("nobody listens at its address: all requests in flight are reported once") {
    target.probes[0](probe_result::refused);
    CHECK(target.ends == std::vector<std::size_t>{2});
    CHECK(target.settled == 2);
    target.watch.later_start();
    CHECK(target.ends.size() == 1);
  }
  SECTION("it still listens: a connection was reset, which is no crash") {
    target.probes[0](probe_result::accepted);
    CHECK(target.ends.empty());
    CHECK(target.settled == 2);

    SECTION("unless a heartbeat of a later start shows that it had been restarted by then") {
      target.timers.run_for(1s);
      target.watch.later_start();
      CHECK(target.evidence == std::vector<crash_evidence>{crash_evidence::later_start});
    }
    SECTION("and a start much later belongs to another end") {
      target.timers.run_for(5s);
      target.watch.later_start();
      CHECK(target.ends.empty());
      CHECK(target.forgotten["expired"] == 2);
    }
    SECTION("and a response over an older connection shows that it is the same process") {
      target.watch.connection_survived();
      target.watch.later_start();
      CHECK(target.ends.empty());
    }
    SECTION("and the end of a target that leaves is planned") {
      target.watch.target_leaving();
      target.watch.later_start();
      CHECK(target.ends.empty());
    }
  }
  SECTION("the probe shows nothing: the requests are released all the same") {
    target.probes[0](probe_result::unknown);
    CHECK(target.ends.empty());
    CHECK(target.settled == 2);
  }
}

}  // namespace crocusdoor

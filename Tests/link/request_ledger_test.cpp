#include "link/request_ledger.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>
#include <set>

#include "core/random_source.h"

namespace crocusdoor {

using namespace std::chrono_literals;
using wire::call_progress;

namespace {

const instance_name caller("caller");
constexpr time_point start{1h};

wire::call_answer make_response(wire::request_id id, std::size_t body_bytes = 10) {
  wire::call_answer answer;
  answer.id = id;
  answer.outcome = verdict::ran;
  answer.status = 200;
  answer.body = {std::string(body_bytes, 'x')};
  return answer;
}

}  // namespace

TEST_CASE("a request of a replaced process is refused", "[link]") {
  // Failure guarded against: a request of the old process was read after the hello of the sender's
  // new process, and ran although its caller's connection had ended with the old process.
  request_ledger ledger;
  const instance_name sender("a");
  const time_point now{};
  CHECK(ledger.receive(sender, 1, 10, now) == receive_result::accepted);
  ledger.sender_started(sender, 2, now);
  CHECK(ledger.receive(sender, 1, 11, now) == receive_result::refused);
  CHECK(ledger.receive(sender, 2, 12, now) == receive_result::accepted);
  CHECK(ledger.receive(sender, 1, 10, now) == receive_result::duplicate);
}

TEST_CASE("the progress that a receiver reports for a request", "[P4][P5][F7]") {
  request_ledger ledger({.requests = 3});
  CHECK(ledger.receive(caller, 5, 10, start) == receive_result::accepted);
  CHECK(ledger.query(caller, 5, 10, start).progress == call_progress::waiting);
  ledger.set_running(caller, 5, 10);
  CHECK(ledger.query(caller, 5, 10, start).progress == call_progress::running);
  CHECK(ledger.receive(caller, 5, 10, start) == receive_result::duplicate);
  ledger.set_done(caller, 5, make_response(10), start);
  CHECK(ledger.query(caller, 5, 10, start).answer == make_response(10));

  SECTION("never received is binding") {
    CHECK(ledger.query(caller, 5, 12, start).progress == call_progress::never_received);
    CHECK(ledger.receive(caller, 5, 12, start) == receive_result::refused);
    ledger.set_done(caller, 5, make_response(12), start);
    CHECK(ledger.query(caller, 5, 12, start).progress == call_progress::never_received);
  }
  SECTION("ids up to the highest expired one are forgotten and refused, received or not") {
    ledger.expire(start + 15s);
    CHECK(ledger.size() == 0);
    CHECK(ledger.query(caller, 5, 10, start + 15s).progress == call_progress::forgotten);
    CHECK(ledger.receive(caller, 5, 10, start + 15s) == receive_result::refused);
    CHECK(ledger.receive(caller, 5, 9, start + 15s) == receive_result::refused);
    CHECK(ledger.receive(caller, 5, 11, start + 15s) == receive_result::accepted);
  }
  SECTION("a running request is never evicted; a new one that does not fit is refused for good") {
    for (const wire::request_id id : {20, 21, 22}) {
      CHECK(ledger.receive(caller, 5, id, start) == receive_result::accepted);
    }
    CHECK(ledger.receive(caller, 5, 23, start) == receive_result::refused);
    ledger.expire(start + 1h);
    CHECK(ledger.size() == 3);
    ledger.set_done(caller, 5, make_response(20), start);
    CHECK(ledger.receive(caller, 5, 23, start) == receive_result::refused);
    CHECK(ledger.receive(caller, 5, 24, start) == receive_result::accepted);
  }
  SECTION("requests of an earlier process of the sender are refused") {
    CHECK(ledger.receive(caller, 6, 1, start) == receive_result::accepted);
    CHECK(ledger.receive(caller, 5, 13, start) == receive_result::refused);
    CHECK(ledger.query(caller, 5, 13, start).progress == call_progress::forgotten);
    CHECK(ledger.query(caller, 5, 10, start).progress == call_progress::done);
  }
}

TEST_CASE("the ledger keeps its limits", "[M7]") {
  request_ledger ledger({.requests = 100, .response_bytes = 50'000, .senders = 2});
  for (wire::request_id id = 1; id <= 1000; ++id) {
    REQUIRE(ledger.receive(caller, 5, id, start) == receive_result::accepted);
    ledger.set_done(caller, 5, make_response(id, 5'000), start);
    REQUIRE(ledger.size() <= 100);
    REQUIRE(ledger.response_bytes() <= 50'000);
  }
  CHECK(ledger.receive(instance_name("second"), 1, 1, start) == receive_result::accepted);
  CHECK(ledger.receive(instance_name("third"), 1, 1, start) == receive_result::refused);
  ledger.expire(start + 24h);
  CHECK(ledger.senders() == 1);  // The request of the second sender is still waiting.
}

TEST_CASE("eviction does not contradict what the ledger has reported", "[P5][P6][F3]") {
  const auto seed = GENERATE(range(0, 20));
  random_source random(static_cast<std::uint64_t>(seed));
  request_ledger ledger({.requests = 8, .response_bytes = 3'000, .response_retention = 20ms});
  std::set<wire::request_id> accepted;
  std::set<wire::request_id> reported_never_received;
  time_point now = start;
  for (int i = 0; i < 3000; ++i) {
    now += 1ms;
    const wire::request_id id = static_cast<wire::request_id>(i / 10) + random.index(12) + 1;
    switch (random.index(5)) {
      case 0:
        if (!accepted.empty()) {
          const std::size_t offset = random.index(std::min<std::size_t>(accepted.size(), 10));
          const wire::request_id done_id =
              *std::prev(accepted.end(), static_cast<std::ptrdiff_t>(1 + offset));
          ledger.set_done(caller, 5, make_response(done_id, random.index(900)), now);
        }
        break;
      case 1:
        ledger.expire(now);
        break;
      case 2: {
        const call_progress progress = ledger.query(caller, 5, id, now).progress;
        if (progress == call_progress::never_received) {
          REQUIRE(accepted.count(id) == 0);
          reported_never_received.insert(id);
        }
        break;
      }
      default:
        if (ledger.receive(caller, 5, id, now) == receive_result::accepted) {
          REQUIRE(reported_never_received.count(id) == 0);
          REQUIRE(accepted.insert(id).second);
        }
    }
    REQUIRE(ledger.size() <= 8);
  }
  CHECK(accepted.size() > 50);
  CHECK(reported_never_received.size() > 10);
}

}  // namespace crocusdoor

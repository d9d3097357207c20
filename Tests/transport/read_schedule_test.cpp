#include "transport/read_schedule.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

namespace {

constexpr std::size_t budget = 16'000'000;
constexpr std::size_t large = 1'000'000;
constexpr time_point start{};

/// Schedule, account and requests of a test. Each request is counted with its bytes.
struct schedule_fixture {
  buffer_account account{budget};
  read_schedule schedule;
  std::vector<incomplete_request> requests;

  void add(std::size_t bytes, time_point last_received_at, bool has_unread_input = false) {
    account.change(buffer_kind::reading, 0, bytes);
    requests.push_back({requests.size() + 1, bytes, last_received_at, has_unread_input});
  }
  read_decision decide(time_point now) { return schedule.decide(account, requests, now); }
};

}  // namespace

TEST_CASE("incomplete requests are read in turns while the budget is nearly used") {
  schedule_fixture test;
  const time_point now = start + std::chrono::seconds(10);

  SECTION("all requests are read while the budget has room") {
    test.add(large, start);
    test.add(large, start);
    const read_decision decision = test.decide(now);
    CHECK(decision.may_read == std::set<std::uint64_t>{1, 2});
    CHECK(decision.silent.empty());
    CHECK(decision.largest.empty());
  }

  SECTION("the request whose client has been silent for longest is refused first") {
    for (int i = 0; i < 13; ++i) {
      test.add(large, now - std::chrono::milliseconds(1'500 + i));
    }
    const read_decision decision = test.decide(now);
    // Until half of the budget is free.
    CHECK(decision.silent == std::vector<std::uint64_t>{13, 12, 11, 10, 9});
    CHECK(decision.largest.empty());
  }

  SECTION("a client whose input has not been read is not silent") {
    for (int i = 0; i < 13; ++i) {
      test.add(large, start, true);
    }
    const read_decision decision = test.decide(now);
    CHECK(decision.silent.empty());
    CHECK(decision.may_read == std::set<std::uint64_t>{1});
  }

  SECTION("each large request gets a turn, also if the one before never ends") {
    for (int i = 0; i < 13; ++i) {
      test.add(large, start, true);
    }
    std::set<std::uint64_t> read;
    for (int i = 0; i < 13; ++i) {
      const read_decision decision = test.decide(now + i * read_schedule::turn_time);
      CHECK(decision.may_read.size() == 1);
      read.insert(decision.may_read.begin(), decision.may_read.end());
    }
    CHECK(read.size() == 13);
  }

  SECTION("a client that sends nothing loses its turn early") {
    for (int i = 0; i < 13; ++i) {
      test.add(large, start, true);
    }
    REQUIRE(test.decide(now).may_read.contains(1));
    test.requests.front().has_unread_input = false;
    test.requests.front().last_received_at = now;
    const read_decision decision = test.decide(now + std::chrono::milliseconds(300));
    CHECK(decision.may_read == std::set<std::uint64_t>{2});
    CHECK(decision.silent.empty());
  }

  SECTION("a small request is read although the budget is nearly used") {
    for (int i = 0; i < 13; ++i) {
      test.add(large, start, true);
    }
    test.add(read_schedule::small_request_bytes, now);
    CHECK(test.decide(now).may_read.contains(14));
  }

  SECTION("without a silent client the largest request is refused until the budget suffices") {
    test.add(1'500'000, now, true);
    for (int i = 0; i < 15; ++i) {
      test.add(large, now);
    }
    const read_decision decision = test.decide(now);
    CHECK(decision.largest == std::vector<std::uint64_t>{1});
  }

  SECTION("a request that has its turn is the last one to be refused for its size") {
    for (int i = 0; i < 13; ++i) {
      test.add(large, now, true);
    }
    REQUIRE(test.decide(now).may_read.contains(1));
    test.account.change(buffer_kind::forwarded, 0, 4 * large);
    const read_decision decision = test.decide(now);
    CHECK(decision.largest.size() == 2);
    CHECK(decision.may_read.contains(1));
  }
}

TEST_CASE("a charge counts its bytes until it is destroyed") {
  const auto account = std::make_shared<buffer_account>(1'000);
  {
    buffer_charge charge(account, buffer_kind::forwarded);
    charge.set(400);
    charge.set(800);
    CHECK(account->bytes(buffer_kind::forwarded) == 800);
    CHECK(account->limited());
    CHECK(account->has_room_for(200));
    CHECK_FALSE(account->has_room_for(201));
  }
  CHECK(account->total() == 0);
}

TEST_CASE("the budget follows from the memory of the machine") {
  CHECK(buffer_budget_bytes(160) == 40'000'000);
  CHECK(buffer_budget_bytes(0) == default_buffer_budget_bytes);
}

}  // namespace crocusdoor

#include <algorithm>
#include <catch2/catch.hpp>

#include "run_once/shard_log.h"
#include "shard_fixture.h"

namespace crocusdoor::testing {

using namespace std::chrono_literals;

namespace {

bool is_write(const shard_effect& effect) {
  return !std::holds_alternative<read_object>(effect);
}

}  // namespace

// Guards against a new owner that loses claims or completions of the former owner, grants a claim
// for an operation that may have run, or reports an outcome that was not recorded.
TEST_CASE("a new owner continues correctly after its predecessor crashed at any step", "[P6][F1]") {
  struct crash_point {
    const char* step;
    int claim_write;       // -1: not sent, 0: executed but response not delivered, 1: delivered.
    int completion_write;  // As for the claim; -2: no completion was reported.
    claim_decision repeat;
    bool completion_recorded;  // By the next owner, before the repeat.
  };
  const auto row = GENERATE(values<crash_point>({
      {"before the claim is written", -1, -2, claim_decision::granted, false},
      {"after the claim is written, before it is granted", 0, -2, claim_decision::in_doubt, false},
      {"after the claim is granted", 1, -2, claim_decision::in_doubt, false},
      {"before the completion is written", 1, -1, claim_decision::answered, true},
      {"after the completion is written, before it is answered", 1, 0, claim_decision::answered,
       true},
      {"after the completion is answered", 1, 1, claim_decision::answered, true},
  }));
  INFO(row.step);
  platform_model platform;
  shard_fixture first(platform, 1);
  first.take_ownership();
  // The crash is modelled by effects that are not executed and results that are not delivered.
  const claim_parameters request{payout("k"), digest_of("100"), first.now().wall + 5s};
  shard_effects effects = first.log.request_claim(1, request, first.now());
  std::optional<platform_result> result;
  if (row.claim_write >= 0) {
    result = platform.execute(effects.at(0));
  }
  if (row.claim_write == 1) {
    first.execute(deliver(first.log, *result, first.now()));
    REQUIRE(first.decision(1) == claim_decision::granted);
  }
  if (row.completion_write != -2) {
    const crocusdoor::claim held = *first.claim_responses.at(1).granted;
    effects =
        first.log.complete(2, held.id, held.operation, verdict::ran,
                           recorded_response{200, "text/plain", byte_string{"paid"}}, first.now());
    if (row.completion_write >= 0) {
      result = platform.execute(effects.at(0));
    }
    if (row.completion_write == 1) {
      first.execute(deliver(first.log, *result, first.now()));
      REQUIRE(first.completions.at(2).recorded);
    }
  }

  shard_fixture second(platform, 2);
  second.take_ownership();
  REQUIRE(second.log.active());
  if (row.completion_recorded) {
    second.claim_responses[1] = first.claim_responses.at(1);
    second.complete(3, 1, verdict::ran);
    CHECK(second.completions.at(3).recorded);
    second.claim_responses.clear();
  }
  second.request_claim(4, "k");
  CHECK(second.decision(4) == row.repeat);
  if (row.repeat == claim_decision::answered) {
    CHECK(second.claim_responses[4].answer->body.bytes == "paid");
  }
}

TEST_CASE("an operator resolves an operation that is in doubt", "[P6]") {
  platform_model platform;
  shard_fixture first(platform, 1);
  first.take_ownership();
  first.request_claim(1, "k", "100", 5s);
  shard_fixture owner(platform, 2);
  owner.take_ownership();
  REQUIRE(owner.log.operations(owner.now().wall).at(0).in_doubt);

  SECTION("resolution is refused while the claim may still be in use") {
    owner.advance_clock(34s);
    owner.resolve(2, "k", false);
    CHECK_FALSE(owner.resolutions.at(2).resolved);
    CHECK(owner.resolutions.at(2).reason == "the claim may still be in use; repeat in 1000 ms");
  }

  SECTION("after resolution as run, a repeated request gets a substitute response") {
    owner.advance_clock(35s);
    owner.resolve(2, "k", true);
    CHECK(owner.resolutions.at(2).resolved);
    owner.request_claim(3, "k");
    REQUIRE(owner.decision(3) == claim_decision::answered);
    CHECK(owner.claim_responses[3].answer->status == 410);
  }

  SECTION(
      "after resolution as not run, a repeated request gets a claim and the old one is invalid") {
    owner.advance_clock(35s);
    owner.resolve(2, "k", false);
    owner.request_claim(3, "k");
    CHECK(owner.decision(3) == claim_decision::granted);
    owner.claim_responses[1] = first.claim_responses[1];
    owner.complete(4, 1, verdict::ran);
    CHECK_FALSE(owner.completions.at(4).recorded);
  }

  SECTION("resolution is refused after the completion has arrived") {
    owner.claim_responses[1] = first.claim_responses[1];
    owner.complete(4, 1, verdict::ran);
    owner.advance_clock(35s);
    owner.resolve(2, "k", false);
    CHECK_FALSE(owner.resolutions.at(2).resolved);
  }
}

// Guards against claims wrongly granted or refused when the platform loses requests or responses.
TEST_CASE("the outcome of a write without a response is determined by reading the object back",
          "[P6][F2]") {
  const auto [lost_writes, outcome] =
      GENERATE(table<int, network_outcome>({{1, network_outcome::response_lost},
                                            {1, network_outcome::request_lost},
                                            {3, network_outcome::response_lost},
                                            {3, network_outcome::request_lost}}));
  platform_model platform;
  shard_fixture owner(platform);
  owner.take_ownership();
  int remaining = lost_writes;
  owner.decide_outcome = [&, outcome_of_write = outcome](const shard_effect& effect) {
    return is_write(effect) && remaining-- > 0 ? outcome_of_write : network_outcome::answered;
  };
  owner.request_claim(1, "k");
  owner.advance_clock(1s);
  owner.request_claim(2, "k2");
  CHECK(owner.decision(2) == claim_decision::granted);
  // A claim that was waiting when the backoff began is refused and released, so the operation is
  // not in doubt.
  owner.request_claim(3, "k");
  owner.advance_clock(6s);
  CHECK((owner.decision(1) == claim_decision::granted
             ? owner.decision(3) == claim_decision::in_progress
             : owner.decision(3) == claim_decision::granted));
}

TEST_CASE("an owner refuses claims and keeps completions while the platform is unavailable",
          "[P5][F2]") {
  platform_model platform;
  shard_fixture owner(platform);
  owner.take_ownership();
  owner.request_claim(1, "running");
  owner.request_claim(2, "done");
  owner.complete(3, 2, verdict::ran);
  std::size_t attempts = 0;
  owner.decide_outcome = [&](const shard_effect& /*effect*/) {
    ++attempts;
    return network_outcome::unavailable;
  };

  SECTION("new claims are refused with a retry delay") {
    owner.request_claim(4, "new");
    REQUIRE(owner.decision(4) == claim_decision::refused);
    CHECK(owner.claim_responses[4].retry_after > duration::zero());
  }

  SECTION("repeated requests for completed operations are still answered") {
    owner.request_claim(4, "done");
    CHECK(owner.decision(4) == claim_decision::answered);
  }

  SECTION("completions are kept, retried at a limited rate and recorded after recovery") {
    owner.complete(4, 1, verdict::ran);
    owner.advance_clock(10min);
    CHECK_FALSE(owner.completions.contains(4));
    CHECK(attempts > 100);  // At least one every 5 s, the backoff cap.
    CHECK(attempts < 600);
    owner.decide_outcome = [](const shard_effect& /*effect*/) { return network_outcome::answered; };
    owner.advance_clock(6s);
    CHECK(owner.completions.at(4).recorded);
    owner.request_claim(5, "new");
    CHECK(owner.decision(5) == claim_decision::granted);
  }

  SECTION("a new owner refuses claims until it can read the log") {
    shard_fixture next(platform, 2);
    next.decide_outcome = owner.decide_outcome;
    next.take_ownership();
    next.request_claim(1, "done");
    CHECK(next.decision(1) == claim_decision::refused);
    next.decide_outcome = [](const shard_effect& /*effect*/) { return network_outcome::answered; };
    next.advance_clock(6s);
    next.request_claim(2, "done");
    CHECK(next.decision(2) == claim_decision::answered);
  }
}

// Guards against objects above the platform's size limit and against state lost by splitting
// checkpoints into parts.
TEST_CASE("checkpoints keep objects below the size limit and the log short", "[B1]") {
  platform_model platform;
  shard_log_settings settings;
  settings.checkpoint_interval = 16;
  settings.delete_age = 61s;
  shard_fixture owner(platform, 1, settings);
  owner.take_ownership();
  constexpr ticket_number operations = 60;
  for (ticket_number i = 1; i <= operations; ++i) {
    owner.request_claim(i, std::to_string(i));
    owner.complete(1000 + i, i, verdict::ran, std::string(150'000, 'x') + std::to_string(i));
    owner.advance_clock(10s);
  }
  owner.request_claim(500, "open");
  CHECK(std::all_of(platform.objects.begin(), platform.objects.end(),
                    [](const auto& object) { return object.second.first.size() < 1'000'000; }));
  const auto batches =
      std::count_if(platform.objects.begin(), platform.objects.end(),
                    [](const auto& object) { return object.first.starts_with("run-once-0/"); });
  CHECK(batches < 64);  // 122 were written.

  SECTION("a new owner loads every operation") {
    shard_fixture next(platform, 2, settings);
    next.clock = owner.clock;
    next.take_ownership();
    CHECK(next.log.operations(next.now().wall).size() == operations + 1);
    for (ticket_number i = 1; i <= operations; ++i) {
      next.request_claim(i, std::to_string(i));
      REQUIRE(next.decision(i) == claim_decision::answered);
      REQUIRE(next.claim_responses[i].answer->body.bytes.ends_with("x" + std::to_string(i)));
    }
    next.request_claim(500, "open");
    CHECK(next.decision(500) == claim_decision::in_doubt);
  }

  SECTION("settled operations are removed after the retention time, open ones are not") {
    owner.advance_clock(31 * 24h);
    for (ticket_number i = 0; i < 16; ++i) {
      owner.request_claim(2000 + i, "later" + std::to_string(i));
    }
    CHECK(owner.log.operations(owner.now().wall).size() == 17);
    CHECK(owner.log.find_operation(payout("open"), owner.now().wall).has_value());
    shard_fixture next(platform, 2, settings);
    next.clock = owner.clock;
    next.take_ownership();
    CHECK(next.log.operations(next.now().wall).size() == 17);
  }
}

TEST_CASE("a batch contains all claims that arrived during the previous write", "[B1]") {
  platform_model platform;
  shard_fixture owner(platform);
  owner.take_ownership();
  const auto request = [&](ticket_number ticket) {
    return owner.log.request_claim(
        ticket, {payout(std::to_string(ticket)), digest_of("100"), owner.now().wall + 5s},
        owner.now());
  };
  const shard_effects first = request(0);
  for (ticket_number ticket = 1; ticket < 100; ++ticket) {
    REQUIRE(request(ticket).empty());
  }
  const std::size_t writes = owner.writes;
  owner.execute(first);
  CHECK(owner.writes == writes + 2);
  CHECK(owner.claim_responses.size() == 100);
}

}  // namespace crocusdoor::testing

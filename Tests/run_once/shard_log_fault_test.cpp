#include <algorithm>
#include <catch2/catch.hpp>

#include "run_once/shard_log.h"
#include "shard_story.h"

namespace crocusdoor::testing {

using namespace std::chrono_literals;

namespace {

bool is_write(const shard_effect& effect) {
  return !std::holds_alternative<read_object>(effect);
}

}  // namespace

// Guards against a new owner that forgets, repeats or invents what the former owner did.
TEST_CASE("an owner dies at any step and the next one takes over", "[P6][F1]") {
  struct death {
    const char* step;
    int claim_write;       // -1: never sent, 0: executed without a response, 1: answered.
    int completion_write;  // As above; -2: no completion was reported.
    claim_decision repeat;
    bool completion_recorded;  // By the next owner, before the repeat.
  };
  const auto row = GENERATE(values<death>({
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
  shard_story first(platform, 1);
  first.take();
  // Effects that nobody executes and results that nobody delivers stand for the death.
  const claim_parameters request{payout("k"), digest_of("100"), first.now().wall + 5s};
  shard_effects effects = first.log.request_claim(1, request, first.now());
  std::optional<platform_result> result;
  if (row.claim_write >= 0) {
    result = platform.execute(effects.at(0));
  }
  if (row.claim_write == 1) {
    first.run(deliver(first.log, *result, first.now()));
    REQUIRE(first.decision(1) == claim_decision::granted);
  }
  if (row.completion_write != -2) {
    const crocusdoor::claim held = *first.claims.at(1).granted;
    effects =
        first.log.complete(2, held.id, held.operation, verdict::ran,
                           recorded_response{200, "text/plain", byte_string{"paid"}}, first.now());
    if (row.completion_write >= 0) {
      result = platform.execute(effects.at(0));
    }
    if (row.completion_write == 1) {
      first.run(deliver(first.log, *result, first.now()));
      REQUIRE(first.completions.at(2).recorded);
    }
  }

  shard_story second(platform, 2);
  second.take();
  REQUIRE(second.log.active());
  if (row.completion_recorded) {
    second.claims[1] = first.claims.at(1);
    second.complete(3, 1, verdict::ran);
    CHECK(second.completions.at(3).recorded);
    second.claims.clear();
  }
  second.claim(4, "k");
  CHECK(second.decision(4) == row.repeat);
  if (row.repeat == claim_decision::answered) {
    CHECK(second.claims[4].answer->body.bytes == "paid");
  }
}

TEST_CASE("an operator resolves an operation that is in doubt", "[P6]") {
  platform_model platform;
  shard_story first(platform, 1);
  first.take();
  first.claim(1, "k", "100", 5s);
  shard_story owner(platform, 2);
  owner.take();
  REQUIRE(owner.log.operations(owner.now().wall).at(0).in_doubt);

  SECTION("not while the claim could still be in use") {
    owner.pass(34s);
    owner.resolve(2, "k", false);
    CHECK_FALSE(owner.resolutions.at(2).resolved);
    CHECK(owner.resolutions.at(2).reason == "the claim may still be in use; repeat in 1000 ms");
  }

  SECTION("as run, and repeats learn that it ran") {
    owner.pass(35s);
    owner.resolve(2, "k", true);
    CHECK(owner.resolutions.at(2).resolved);
    owner.claim(3, "k");
    REQUIRE(owner.decision(3) == claim_decision::answered);
    CHECK(owner.claims[3].answer->status == 410);
  }

  SECTION("as not run, and a repeat may run, but the old claim may not report any more") {
    owner.pass(35s);
    owner.resolve(2, "k", false);
    owner.claim(3, "k");
    CHECK(owner.decision(3) == claim_decision::granted);
    owner.claims[1] = first.claims[1];
    owner.complete(4, 1, verdict::ran);
    CHECK_FALSE(owner.completions.at(4).recorded);
  }

  SECTION("unless its completion arrives first") {
    owner.claims[1] = first.claims[1];
    owner.complete(4, 1, verdict::ran);
    owner.pass(35s);
    owner.resolve(2, "k", false);
    CHECK_FALSE(owner.resolutions.at(2).resolved);
  }
}

// Guards against a claim granted or refused wrongly when the platform loses requests or responses.
TEST_CASE("lost platform requests and responses are settled by reading back", "[P6][F2]") {
  const auto [lost, how] = GENERATE(
      table<int, fate>({{1, fate::lost}, {1, fate::dropped}, {3, fate::lost}, {3, fate::dropped}}));
  platform_model platform;
  shard_story owner(platform);
  owner.take();
  int left = lost;
  owner.network = [&, fate_of_write = how](const shard_effect& effect) {
    return is_write(effect) && left-- > 0 ? fate_of_write : fate::answered;
  };
  owner.claim(1, "k");
  owner.pass(1s);
  owner.claim(2, "k2");
  CHECK(owner.decision(2) == claim_decision::granted);
  // A claim that waited through a back-off is refused and released; it is not in doubt.
  owner.claim(3, "k");
  owner.pass(6s);
  CHECK((owner.decision(1) == claim_decision::granted
             ? owner.decision(3) == claim_decision::in_progress
             : owner.decision(3) == claim_decision::granted));
}

TEST_CASE("the platform is down", "[P5][F2]") {
  platform_model platform;
  shard_story owner(platform);
  owner.take();
  owner.claim(1, "running");
  owner.claim(2, "done");
  owner.complete(3, 2, verdict::ran);
  std::size_t attempts = 0;
  owner.network = [&](const shard_effect& /*effect*/) {
    ++attempts;
    return fate::unavailable;
  };

  SECTION("new claims are refused as not run and told when to come back") {
    owner.claim(4, "new");
    REQUIRE(owner.decision(4) == claim_decision::refused);
    CHECK(owner.claims[4].retry_after > duration::zero());
  }

  SECTION("what ran before is still answered") {
    owner.claim(4, "done");
    CHECK(owner.decision(4) == claim_decision::answered);
  }

  SECTION("completions are kept, retried at a capped rate, and recorded in the end") {
    owner.complete(4, 1, verdict::ran);
    owner.pass(10min);
    CHECK_FALSE(owner.completions.contains(4));
    CHECK(attempts > 100);  // At least one in each 5 s, the cap.
    CHECK(attempts < 600);
    owner.network = [](const shard_effect& /*effect*/) { return fate::answered; };
    owner.pass(6s);
    CHECK(owner.completions.at(4).recorded);
    owner.claim(5, "new");
    CHECK(owner.decision(5) == claim_decision::granted);
  }

  SECTION("a new owner cannot read the log and refuses everything until it can") {
    shard_story next(platform, 2);
    next.network = owner.network;
    next.take();
    next.claim(1, "done");
    CHECK(next.decision(1) == claim_decision::refused);
    next.network = [](const shard_effect& /*effect*/) { return fate::answered; };
    next.pass(6s);
    next.claim(2, "done");
    CHECK(next.decision(2) == claim_decision::answered);
  }
}

// Guards against values that the platform refuses, and against state lost by splitting them.
TEST_CASE("checkpoints keep objects small and the log short", "[B1]") {
  platform_model platform;
  shard_log_settings settings;
  settings.checkpoint_interval = 16;
  settings.delete_age = 61s;
  shard_story owner(platform, 1, settings);
  owner.take();
  constexpr ticket_number operations = 60;
  for (ticket_number i = 1; i <= operations; ++i) {
    owner.claim(i, std::to_string(i));
    owner.complete(1000 + i, i, verdict::ran, std::string(150'000, 'x') + std::to_string(i));
    owner.pass(10s);
  }
  owner.claim(500, "open");
  CHECK(std::all_of(platform.objects.begin(), platform.objects.end(),
                    [](const auto& object) { return object.second.first.size() < 1'000'000; }));
  const auto batches =
      std::count_if(platform.objects.begin(), platform.objects.end(),
                    [](const auto& object) { return object.first.starts_with("run-once-0/"); });
  CHECK(batches < 64);  // Of 122 written.

  SECTION("a new owner knows every operation") {
    shard_story next(platform, 2, settings);
    next.clock = owner.clock;
    next.take();
    CHECK(next.log.operations(next.now().wall).size() == operations + 1);
    for (ticket_number i = 1; i <= operations; ++i) {
      next.claim(i, std::to_string(i));
      REQUIRE(next.decision(i) == claim_decision::answered);
      REQUIRE(next.claims[i].answer->body.bytes.ends_with("x" + std::to_string(i)));
    }
    next.claim(500, "open");
    CHECK(next.decision(500) == claim_decision::in_doubt);
  }

  SECTION("settled operations are dropped after the retention time, open ones are not") {
    owner.pass(31 * 24h);
    for (ticket_number i = 0; i < 16; ++i) {
      owner.claim(2000 + i, "later" + std::to_string(i));
    }
    CHECK(owner.log.operations(owner.now().wall).size() == 17);
    CHECK(owner.log.find_operation(payout("open"), owner.now().wall).has_value());
    shard_story next(platform, 2, settings);
    next.clock = owner.clock;
    next.take();
    CHECK(next.log.operations(next.now().wall).size() == 17);
  }
}

TEST_CASE("a batch takes all claims that arrived during the previous write", "[B1]") {
  platform_model platform;
  shard_story owner(platform);
  owner.take();
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
  owner.run(first);
  CHECK(owner.writes == writes + 2);
  CHECK(owner.claims.size() == 100);
}

}  // namespace crocusdoor::testing

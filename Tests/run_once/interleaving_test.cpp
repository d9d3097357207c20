#include <catch2/catch.hpp>
#include <functional>

#include "interleaving_model.h"

namespace crocusdoor::testing {

using namespace std::chrono_literals;

namespace {

struct interleaving_row {
  const char* name;
  std::function<void(model_options&)> adjust;
  std::set<claim_decision> reached;  ///< Answers that the row must have produced.
};

model_options with(const std::function<void(model_options&)>& adjust) {
  model_options options;
  adjust(options);
  return options;
}

void with_deleted_batches(model_options& options) {
  options.faults = 0;
  options.jumps = 1;
  options.deadline = 120s;
  options.settings.checkpoint_interval = 1;
  options.settings.fence_window = 10s;
  options.settings.delete_age = 20s;
  options.settings.retake_delay = 600s;
  options.completions_per_caller = 0;
  options.give_ups = 0;
  options.callers_stay = true;
}

std::string text_of(const std::vector<std::string>& trace) {
  std::string text;
  for (const std::string& step : trace) {
    text += step + "\n";
  }
  return text;
}

void check_row(const interleaving_row& row) {
  INFO(row.name);
  const model_result result = explore(with(row.adjust));
  INFO(result.violation << " after\n" << text_of(result.trace));
  CHECK(result.violation.empty());
  CHECK(result.complete);
  for (const claim_decision needed : row.reached) {
    CHECK(result.decisions.contains(needed));
  }
  WARN(row.name << ": " << result.states << " states, " << result.steps << " steps, at most "
                << result.deepest << " in a row");
}

}  // namespace

// Guards against a second execution, a false "not run" and a mixed-up answer in any order of
// steps of two owners that both believe they own the shard.
TEST_CASE("every interleaving of two owners keeps an operation from running twice", "[P5][P6]") {
  using decision = claim_decision;
  const auto row = GENERATE(values<interleaving_row>({
      {"two callers with one key, one fault",
       [](model_options&) {},
       {decision::granted, decision::answered, decision::in_progress, decision::in_doubt,
        decision::refused}},
      {"two callers with two keys that repeat their requests",
       [](model_options& options) {
         options.same_key = false;
         options.requests_per_caller = 2;
         options.callers_stay = true;
         options.completions_per_caller = 1;
         options.give_ups = 0;
       },
       {decision::granted, decision::answered, decision::refused}},
      {"a caller that gives its claim back and asks again",
       [](model_options& options) {
         options.callers = 1;
         options.requests_per_caller = 2;
         options.give_backs = 1;
       },
       {decision::granted, decision::answered, decision::in_doubt, decision::refused}},
      {"one caller, two faults",
       [](model_options& options) {
         options.callers = 1;
         options.faults = 2;
       },
       {decision::granted, decision::refused}},
      {"a crash, the expiry of the claim and an operator",
       [](model_options& options) {
         options.callers = 1;
         options.requests_per_caller = 2;
         options.faults = 0;
         options.crashes = 1;
         options.jumps = 1;
         options.resolutions = 1;
         options.completions_per_caller = 1;
         options.give_ups = 0;
       },
       {decision::granted, decision::in_doubt, decision::refused}},
  }));
  check_row(row);
}

// As above, for a former owner that wakes after its successor has deleted the batches that would
// have stopped it. On its own, because it is the longest search.
TEST_CASE("an owner that wakes after the batches are deleted grants nothing", "[P5][P6][F4]") {
  using decision = claim_decision;
  check_row({"a pause during which the batches are deleted",
             with_deleted_batches,
             {decision::granted, decision::in_doubt, decision::refused}});
}

// Guards against a model too weak to see a fault: without each mechanism it must find one.
TEST_CASE("without one of its mechanisms an operation runs twice", "[P6]") {
  const auto [disabled, adjust] =
      GENERATE(table<disabled_mechanism, std::function<void(model_options&)>>({
          {disabled_mechanism::fencing, [](model_options&) {}},
          {disabled_mechanism::nonce_comparison, [](model_options&) {}},
          {disabled_mechanism::durable_before_grant, [](model_options&) {}},
          {disabled_mechanism::header_check, with_deleted_batches},
      }));
  model_options options = with(adjust);
  options.disabled = disabled;
  const model_result result = explore(options);
  INFO("mechanism " << static_cast<int>(disabled) << "\n" << text_of(result.trace));
  CHECK(result.violation == "an operation was executed twice");
  WARN("mechanism " << static_cast<int>(disabled) << ": found after " << result.states
                    << " states, " << result.trace.size() << " steps");
}

// Guards against faults that need more steps than the exhaustive search can take, and against an
// owner that grants nothing any more after the faults are over.
TEST_CASE("long random runs keep an operation from running twice", "[P5][P6]") {
  model_options options;
  options.callers = 4;
  options.requests_per_caller = 30;
  options.takeovers = 60;
  options.give_ups = 60;
  options.faults = 60;
  options.crashes = 8;
  options.jumps = 40;
  options.jump = 3s;
  options.give_backs = 5;
  options.completions_per_caller = 60;
  options.resolutions = 10;
  options.depth = 600;
  options.settings.checkpoint_interval = 2;
  options.settings.fence_window = 10s;
  options.settings.delete_age = 20s;
  std::map<claim_decision, std::size_t> decisions;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    options.same_key = seed % 2 == 0;
    const model_result result = random_run(options, seed);
    INFO("seed " << seed << ": " << result.violation << " after\n" << text_of(result.trace));
    REQUIRE(result.violation.empty());
    for (const auto& [decision, count] : result.decisions) {
      decisions[decision] += count;
    }
  }
  CHECK(decisions[claim_decision::granted] > 1000);
  CHECK(decisions[claim_decision::answered] > 100);
}

}  // namespace crocusdoor::testing

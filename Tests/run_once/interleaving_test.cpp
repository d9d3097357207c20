#include <catch2/catch.hpp>
#include <functional>

#include "interleaving_model.h"

namespace crocusdoor::testing {

using namespace std::chrono_literals;

namespace {

struct interleaving_row {
  const char* name;
  std::function<void(model_options&)> adjust;
  std::set<claim_decision> required;  ///< Decisions that the search must have reached.
};

model_options with(const std::function<void(model_options&)>& adjust) {
  model_options options;
  adjust(options);
  return options;
}

void with_deleted_batches(model_options& options) {
  options.faults = 0;
  options.clock_advances = 1;
  options.deadline = 120s;
  options.settings.checkpoint_interval = 1;
  options.settings.fence_window = 10s;
  options.settings.delete_age = 20s;
  options.settings.retake_delay = 600s;
  options.completions_per_caller = 0;
  options.give_ups = 0;
  options.callers_keep_their_owner = true;
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
  for (const claim_decision decision : row.required) {
    CHECK(result.decisions.contains(decision));
  }
  WARN(row.name << ": " << result.states << " states, " << result.steps << " steps, longest path "
                << result.longest_path << " steps");
}

}  // namespace

// Guards against a second execution, a wrong "not run" and the response of another operation, in
// every order of the steps of two instances that both act as owner of the shard.
TEST_CASE("no interleaving of two owners runs an operation twice", "[P5][P6]") {
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
         options.callers_keep_their_owner = true;
         options.completions_per_caller = 1;
         options.give_ups = 0;
       },
       {decision::granted, decision::answered, decision::refused}},
      {"a caller that returns its claim unused and requests another",
       [](model_options& options) {
         options.callers = 1;
         options.requests_per_caller = 2;
         options.claim_returns = 1;
       },
       {decision::granted, decision::answered, decision::in_doubt, decision::refused}},
      {"one caller, two faults",
       [](model_options& options) {
         options.callers = 1;
         options.faults = 2;
       },
       {decision::granted, decision::refused}},
      {"a crash, the expiry of the claim and a resolution by an operator",
       [](model_options& options) {
         options.callers = 1;
         options.requests_per_caller = 2;
         options.faults = 0;
         options.crashes = 1;
         options.clock_advances = 1;
         options.resolutions = 1;
         options.completions_per_caller = 1;
         options.give_ups = 0;
       },
       {decision::granted, decision::in_doubt, decision::refused}},
  }));
  check_row(row);
}

// Guards against the same faults if a paused owner resumes after its successor has deleted the
// batches whose existence would have fenced it. A separate test, because it is the longest search.
TEST_CASE("an owner that resumes after its batches were deleted grants no claim", "[P5][P6][F4]") {
  using decision = claim_decision;
  check_row({"a pause during which the batches are deleted",
             with_deleted_batches,
             {decision::granted, decision::in_doubt, decision::refused}});
}

// Guards against a model that can't detect faults: with any one safety mechanism disabled, the
// search must find a double execution.
TEST_CASE("the model finds a double execution if a safety mechanism is disabled", "[P6]") {
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
// owner that grants no claims after the faults have ended.
TEST_CASE("no long random run runs an operation twice", "[P5][P6]") {
  model_options options;
  options.callers = 4;
  options.requests_per_caller = 30;
  options.takeovers = 60;
  options.give_ups = 60;
  options.faults = 60;
  options.crashes = 8;
  options.clock_advances = 40;
  options.clock_advance = 3s;
  options.claim_returns = 5;
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

#include <catch2/catch.hpp>
#include <functional>

#include "routing/deadline.h"
#include "routing/hedge_policy.h"
#include "routing/retry_budget.h"

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(100)};

// A path of hops, each with its own retry budget; the deepest hop refuses or loses every request.
class call_path {
 public:
  call_path(int levels, retry_policy policy, verdict deepest, bool lost_at_each_level)
      : budgets_(static_cast<std::size_t>(levels), retry_budget(policy)),
        deepest_(deepest),
        lost_at_each_level_(lost_at_each_level) {}

  void request() { static_cast<void>(call(0, budgets_[0].path_retries())); }
  [[nodiscard]] int executions() const { return executions_; }

 private:
  verdict call(std::size_t level, std::int32_t retries_left) {
    if (level == budgets_.size()) {
      ++executions_;
      return deepest_;
    }
    retry_budget& budget = budgets_[level];
    if (retries_left > 0) {
      budget.request_started(start);
    }
    for (std::int32_t attempt = 1;; ++attempt) {
      const verdict outcome = call(level + 1, budget.retries_to_send(attempt, retries_left));
      if (!budget.may_retry(outcome, true, attempt, retries_left, start)) {
        // The hop's own target ran the request, regardless of the outcome of the call to the next
        // hop.
        return lost_at_each_level_ ? verdict::may_have_run : verdict::ran;
      }
      --retries_left;
    }
  }

  std::vector<retry_budget> budgets_;
  verdict deepest_;
  bool lost_at_each_level_;
  int executions_ = 0;
};

}  // namespace

TEST_CASE("retries at seven levels do not multiply", "[F10]") {
  constexpr int requests = 1000;
  constexpr int burst = 10;

  SECTION("a refusal at the deepest level is repeated only there, within 10% of the traffic") {
    call_path path(7, {}, verdict::not_run, false);
    for (int i = 0; i < requests; ++i) {
      path.request();
    }
    CHECK(path.executions() <= requests * 11 / 10 + burst);
  }

  SECTION("responses lost at every level at once add up to 10% of the traffic per level") {
    call_path path(7, {}, verdict::may_have_run, true);
    for (int i = 0; i < requests; ++i) {
      path.request();
    }
    CHECK(path.executions() <= requests * 17 / 10 + 7 * burst);
  }

  SECTION("without budgets two attempts per level are 128 executions") {
    call_path path(7, {.attempts_limit = 2, .limited = false}, verdict::may_have_run, true);
    path.request();
    CHECK(path.executions() == 128);
  }
}

TEST_CASE("only attempts that are safe to repeat are repeated", "[P5][P6]") {
  struct retry_case {
    verdict outcome;
    bool idempotent;
    std::int32_t attempt;
    std::int32_t retries_left;
    bool expected;
  };
  const std::vector<retry_case> cases{
      {verdict::not_run, false, 1, 2, true},     {verdict::not_run, true, 2, 1, true},
      {verdict::may_have_run, true, 1, 2, true}, {verdict::may_have_run, false, 1, 2, false},
      {verdict::ran, true, 1, 2, false},         {verdict::not_run, true, 1, 0, false},
      {verdict::not_run, true, 3, 2, false}};
  for (const retry_case& test_case : cases) {
    retry_budget budget;
    CAPTURE(to_string(test_case.outcome), test_case.idempotent, test_case.attempt,
            test_case.retries_left);
    CHECK(budget.may_retry(test_case.outcome, test_case.idempotent, test_case.attempt,
                           test_case.retries_left, start) == test_case.expected);
  }
}

TEST_CASE("hedges stay within 5% of the traffic and are sent for idempotent calls only") {
  hedge_policy policy;
  const service_name service("statements");
  CHECK_FALSE(policy.hedge_delay(service, true, start).has_value());
  for (int i = 1; i <= 600; ++i) {
    policy.record_latency(service, milliseconds(i % 100 + 1), start);
  }
  CHECK_FALSE(policy.hedge_delay(service, false, start).has_value());
  const auto delay = policy.hedge_delay(service, true, start);
  REQUIRE(delay.has_value());
  CHECK(*delay >= milliseconds(94));
  CHECK(*delay <= milliseconds(97));
  int hedges = 0;
  for (int i = 0; i < 2000; ++i) {
    static_cast<void>(policy.hedge_delay(service, true, start));
    hedges += policy.may_hedge(service, start) ? 1 : 0;
  }
  CHECK(hedges <= 2000 * 5 / 100 + 10);
  CHECK(hedges >= 2000 * 5 / 100);
}

TEST_CASE("a deadline is shortened at every hop, so that the caller gets the response in time",
          "[F10]") {
  const deadline_rule rule;
  struct deadline_case {
    duration time_left;
    std::optional<milliseconds> expected;
  };
  const std::vector<deadline_case> cases{{seconds(1), milliseconds(980)},
                                         {milliseconds(100), milliseconds(96)},
                                         {milliseconds(4), std::nullopt},
                                         {milliseconds(0), std::nullopt},
                                         {milliseconds(-50), std::nullopt}};
  for (const deadline_case& test_case : cases) {
    CAPTURE(test_case.time_left.count());
    CHECK(rule.left_for_next_hop(start + test_case.time_left, start) == test_case.expected);
  }
  CHECK(deadline_rule::on_arrival(milliseconds(96), start) == start + milliseconds(96));
  CHECK(deadline_rule::on_arrival(milliseconds(-5), start) == start);
}

}  // namespace crocusdoor

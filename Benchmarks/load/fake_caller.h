#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "event_queue.h"
#include "fake_target.h"
#include "routing/hedge_policy.h"
#include "routing/retry_budget.h"
#include "routing/upstream_selector.h"

namespace crocusdoor::load_benchmark {

/// One call by a user and what became of it.
struct user_request {
  time_point arrival;
  time_point deadline;
  duration work{0};
  bool is_long = false;
  std::string work_class;
  bool idempotent = true;
  std::int32_t tries_left = 0;  ///< How often the user repeats the call if it fails.
  bool done = false;
  bool answered = false;
  duration latency{0};
  std::int32_t attempts = 0;
  std::int32_t retries_left = 0;
  std::vector<std::shared_ptr<attempt>> sent;
  std::vector<instance_name> tried;
};

/// Rules that a caller's daemon follows.
struct caller_rules {
  selection_policy selection;
  retry_policy retry;
  hedge_settings hedge;
  bool cancels = true;  ///< Whether an attempt that is given up is cancelled at the target.
};

/// Counts over all callers.
struct call_counts {
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t refusals = 0;
  std::uint64_t refused_but_executed = 0;  ///< Breaches of the guarantee P5; must be 0.
};

/// The daemon of a calling process.
class fake_caller {
 public:
  using delay_function = std::function<duration(std::size_t target)>;
  using failure_function = std::function<void(const std::shared_ptr<user_request>&)>;

  fake_caller(event_queue& events, caller_location location, const caller_rules& rules,
              std::vector<std::unique_ptr<fake_target>>& targets, delay_function one_way,
              random_source& random, call_counts& counts);

  void set_upstreams(const std::vector<upstream>& upstreams, const connection_limits& limits);
  /// Called when a request ends without an answer.
  void on_failure(failure_function function) { failed_ = std::move(function); }
  void submit(const std::shared_ptr<user_request>& request);

 private:
  bool send(const std::shared_ptr<user_request>& request);
  void answered(const std::shared_ptr<user_request>& request, const std::shared_ptr<attempt>& one,
                verdict outcome, const load_report& report);
  void refused(const std::shared_ptr<user_request>& request);
  void consider_hedge(const std::shared_ptr<user_request>& request);
  void end(const std::shared_ptr<user_request>& request, bool success);

  event_queue& events_;
  caller_rules rules_;
  std::vector<std::unique_ptr<fake_target>>& targets_;
  delay_function one_way_;
  random_source& random_;
  call_counts& counts_;
  failure_function failed_;
  upstream_selector selector_;
  retry_budget retries_;
  hedge_policy hedges_;
};

/// Name of the called service.
[[nodiscard]] const service_name& benchmark_service();
/// Name of a target's instance.
[[nodiscard]] instance_name target_name(std::size_t target);

}  // namespace crocusdoor::load_benchmark

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

/// One request of a user and its result. A user who repeats a failed request makes a new one.
struct user_request {
  time_point arrival;
  time_point deadline;
  duration work{0};
  bool is_long = false;
  std::string work_class;
  bool idempotent = true;
  std::int32_t user_repeats_left = 0;  ///< How often the user may still repeat the request.
  bool done = false;
  bool answered = false;
  duration latency{0};
  std::int32_t attempts = 0;
  std::int32_t retries_left = 0;
  std::vector<std::shared_ptr<attempt>> sent_attempts;
  std::vector<instance_name> tried_upstreams;
};

/// Policies of a caller's daemon.
struct caller_rules {
  selection_policy selection;
  retry_policy retry;
  hedge_settings hedge;
  bool cancels = true;  ///< Whether abandoned attempts are cancelled at the target.
};

/// Event counts, summed over all callers.
struct call_counts {
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t refusals = 0;
  std::uint64_t refused_but_executed = 0;  ///< Violations of guarantee P5; must be 0.
};

/// The daemon of a caller, with the selection, retry and hedging policies under test.
class fake_caller {
 public:
  using delay_function = std::function<duration(std::size_t target)>;
  using failure_function = std::function<void(const std::shared_ptr<user_request>&)>;

  fake_caller(event_queue& events, caller_location location, const caller_rules& rules,
              std::vector<std::unique_ptr<fake_target>>& targets, delay_function one_way_delay,
              random_source& random, call_counts& counts);

  void set_upstreams(const std::vector<upstream>& upstreams, const connection_limits& limits);
  /// `function` is called when a request ends without a successful response.
  void on_failure(failure_function function) { failure_handler_ = std::move(function); }
  void submit(const std::shared_ptr<user_request>& request);

 private:
  bool send(const std::shared_ptr<user_request>& request);
  void handle_response(const std::shared_ptr<user_request>& request,
                       const std::shared_ptr<attempt>& sent_attempt, verdict outcome,
                       const load_report& report);
  void handle_refusal(const std::shared_ptr<user_request>& request);
  void consider_hedge(const std::shared_ptr<user_request>& request);
  void end(const std::shared_ptr<user_request>& request, bool success);

  event_queue& events_;
  caller_rules rules_;
  std::vector<std::unique_ptr<fake_target>>& targets_;
  delay_function one_way_delay_;
  random_source& random_;
  call_counts& counts_;
  failure_function failure_handler_;
  upstream_selector selector_;
  retry_budget retries_;
  hedge_policy hedges_;
};

/// Name of the service that the callers request.
[[nodiscard]] const service_name& benchmark_service();
/// Instance name of the target with index `target`.
[[nodiscard]] instance_name target_name(std::size_t target);

}  // namespace crocusdoor::load_benchmark

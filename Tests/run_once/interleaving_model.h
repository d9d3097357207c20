#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "platform_model.h"
#include "run_once/shard_log.h"

namespace crocusdoor::testing {

/// Safety mechanism that the model disables to show that its checks notice when the mechanism is
/// missing.
enum class disabled_mechanism {
  none,
  fencing,
  nonce_comparison,
  durable_before_grant,
  header_check
};

struct model_options {
  std::size_t callers = 2;
  bool same_key = true;
  int requests_per_caller = 1;
  int takeovers = 1;  ///< Times that an instance is told that it owns the shard.
  int faults = 1;     ///< Lost, delayed and refused platform operations, lost responses.
  int crashes = 0;
  int clock_advances = 0;  ///< Steps that advance the clock by `clock_advance`.
  duration clock_advance = std::chrono::seconds(60);
  std::chrono::milliseconds deadline = std::chrono::seconds(5);  ///< Of each request.
  int claim_returns = 0;  ///< Claims that are returned unused.
  int resolutions = 0;    ///< Operations that an operator resolves by the target's records.
  int give_ups = 1;       ///< Times that an instance is told that it does not own the shard.
  int completions_per_caller = 2;
  bool callers_keep_their_owner = false;  ///< Caller n sends requests to instance n only.
  std::size_t depth = 80;
  std::size_t state_limit = 2'000'000;
  shard_log_settings settings;
  disabled_mechanism disabled = disabled_mechanism::none;
};

enum class step_kind {
  take_ownership,
  give_up_ownership,
  crash,
  execute,          // The platform executes an operation; the result is in transit.
  lose_response,    // The platform executes it; the response is lost.
  delay_request,    // The owner gets an unknown result; the request arrives later.
  refuse_request,   // The platform refuses it.
  execute_delayed,  // A delayed request arrives and is executed.
  deliver,          // A result reaches its owner.
  request,
  abandon_request,
  run_on_target,
  return_claim,
  complete,
  resolve,
  advance_clock,
  wake,
};

struct model_step {
  step_kind kind = step_kind::take_ownership;
  std::size_t subject = 0;  // Index of an instance, caller, request or result.
  std::size_t owner = 0;
  [[nodiscard]] std::string text() const;
};

/// Two owners of one shard, some callers, a target and the platform, advanced one step at a time.
/// A process is paused for as long as only steps of other parties are chosen.
class interleaving_world {
 public:
  explicit interleaving_world(const model_options& options);

  /// Steps that are possible now.
  [[nodiscard]] std::vector<model_step> steps() const;
  void apply(const model_step& step);
  /// Lets the first instance take the shard, without faults, until it grants claims.
  void start_first_owner();

  /// Ends all faults and lets the first instance take the shard. It is a violation if that instance
  /// then grants no claim for a new key.
  void recover();

  /// Digest of the whole state. Two worlds with equal digests have the same possible continuations,
  /// because the state of a shard log is a function of its inputs.
  [[nodiscard]] std::uint64_t state_digest() const;
  /// The first violation; empty if there is none.
  [[nodiscard]] const std::string& violation() const noexcept { return violation_; }
  [[nodiscard]] const std::map<claim_decision, int>& decisions() const noexcept {
    return decisions_;
  }

 private:
  enum class caller_state { idle, waiting, holding, ran, returning_claim, completing, finished };
  struct caller {
    operation_key operation;
    caller_state state = caller_state::idle;
    int requests_left = 0;
    int completions_left = 2;
    ticket_number ticket = 0;
    std::optional<claim> held;
    verdict outcome = verdict::ran;
  };
  struct instance {
    std::optional<shard_log> log;
    std::uint64_t input_digest = 0;
    std::string written_name;  // Object being created, for `nonce_comparison`.
    std::string written_content;
    bool owner = false;
  };
  struct pending_request {
    std::size_t owner = 0;
    shard_effect effect;
    bool detached = false;  // The result is discarded.
  };
  struct pending_result {
    std::size_t owner = 0;
    platform_result result;
  };

  void restart(std::size_t owner);
  void input(std::size_t owner, const std::string& text, const shard_effects& effects);
  void handle(std::size_t owner, const shard_effect& effect);
  void handle_claim(const answer_claim& answer);
  void handle_completion(const answer_completion& answer);
  void platform_request(std::size_t owner, const shard_effect& effect);
  void execute(std::size_t position, bool response_lost);
  void deliver_result(std::size_t owner, platform_result result);
  void request_claim_at(std::size_t caller_number, std::size_t owner);
  void complete_at(std::size_t caller_number, std::size_t owner);
  void run_on_target(caller& holder);
  void resolve_at(std::size_t owner);
  void check(bool condition, const std::string& text);
  void platform_steps(std::vector<model_step>& result) const;
  void caller_steps(std::vector<model_step>& result) const;
  void owner_steps(std::vector<model_step>& result) const;

  model_options options_;
  platform_model platform_;
  std::array<instance, 2> instances_;
  std::vector<caller> callers_;
  std::vector<pending_request> requests_;
  std::vector<pending_result> results_;
  clock_reading clock_;
  std::map<operation_key, std::vector<std::string>> executions_;  // Responses of the target.
  std::set<ticket_number> answered_;
  std::map<claim_decision, int> decisions_;
  std::string violation_;
  std::uint64_t restarts_ = 0;
  ticket_number last_ticket_ = 0;
};

struct model_result {
  std::size_t states = 0;
  std::size_t steps = 0;
  std::size_t longest_path = 0;  ///< In steps.
  bool complete = true;          ///< False if a limit on states or depth cut the search short.
  std::string violation;
  std::vector<std::string> trace;  ///< Steps that lead to the violation.
  std::map<claim_decision, std::size_t> decisions;
};

/// Visits every interleaving within the limits of `options`, each state once.
[[nodiscard]] model_result explore(const model_options& options);

/// Takes random steps; the seed determines the run.
[[nodiscard]] model_result random_run(const model_options& options, std::uint64_t seed);

}  // namespace crocusdoor::testing

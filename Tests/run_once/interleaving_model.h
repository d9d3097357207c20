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

/// Mechanism that the surroundings of the owners undo, to show that the checks depend on it.
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
  int takeovers = 1;  ///< Times that an instance comes to believe that it owns the shard.
  int faults = 1;     ///< Lost, delayed and refused platform operations, lost answers.
  int crashes = 0;
  int jumps = 0;  ///< Steps of the clock over `jump`.
  duration jump = std::chrono::seconds(60);
  std::chrono::milliseconds deadline = std::chrono::seconds(5);  ///< Of each request.
  int give_backs = 0;                                            ///< Claims returned as not run.
  int resolutions = 0;  ///< Operations that an operator resolves from the target's books.
  int give_ups = 1;     ///< Times that an instance learns that it does not own the shard.
  int completions_per_caller = 2;
  bool callers_stay = false;  ///< Caller n talks to instance n only.
  std::size_t depth = 80;
  std::size_t state_limit = 2'000'000;
  shard_log_settings settings;
  disabled_mechanism disabled = disabled_mechanism::none;
};

enum class step_kind {
  take,
  give_up,
  crash,
  execute,          // The platform executes an operation; the result is under way.
  lose,             // It executes it; the response is lost.
  delay,            // The owner is told "unknown"; the request arrives later.
  refuse,           // The platform refuses it.
  execute_delayed,  // A delayed request arrives.
  deliver,          // A result reaches its owner.
  request,
  abandon_request,
  run_on_target,
  give_back,
  complete,
  resolve,
  jump,
  wake,
};

struct model_step {
  step_kind kind = step_kind::take;
  std::size_t subject = 0;  // Owner, caller or position in a list.
  std::size_t owner = 0;
  [[nodiscard]] std::string text() const;
};

/// Two owners of one shard, some callers, a target and the platform, advanced one step at a time.
/// A pause is the choice of other steps meanwhile.
class interleaving_world {
 public:
  explicit interleaving_world(const model_options& options);

  /// Steps that are possible now.
  [[nodiscard]] std::vector<model_step> steps() const;
  void apply(const model_step& step);
  /// Takes the only possible platform steps until the first owner grants claims.
  void start_first_owner();

  /// Ends all faults and lets the first instance take the shard; a violation is noted if it then
  /// does not grant a claim for a new key.
  void recover();

  /// Equal digests mean equal futures: a shard log is a function of the inputs it had.
  [[nodiscard]] std::uint64_t state_digest() const;
  /// What went wrong; empty if nothing did.
  [[nodiscard]] const std::string& violation() const noexcept { return violation_; }
  [[nodiscard]] const std::map<claim_decision, int>& decisions() const noexcept {
    return decisions_;
  }

 private:
  enum class caller_state { idle, waiting, holding, ran, giving_back, completing, finished };
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
    std::uint64_t history = 0;
    std::string written_name;  // Batch under way, for `nonce_comparison`.
    std::string written_content;
    bool owner = false;
  };
  struct request_under_way {
    std::size_t owner = 0;
    shard_effect effect;
    bool detached = false;  // Nobody waits for the result.
  };
  struct result_under_way {
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
  void run_on_target(caller& runner);
  void resolve_at(std::size_t owner);
  void check(bool condition, const std::string& text);
  void platform_steps(std::vector<model_step>& result) const;
  void caller_steps(std::vector<model_step>& result) const;
  void owner_steps(std::vector<model_step>& result) const;

  model_options options_;
  platform_model platform_;
  std::array<instance, 2> instances_;
  std::vector<caller> callers_;
  std::vector<request_under_way> requests_;
  std::vector<result_under_way> results_;
  clock_reading clock_;
  std::map<operation_key, std::vector<std::string>> executions_;  // Answers of the target.
  std::set<ticket_number> answered_;
  std::map<claim_decision, int> decisions_;
  std::string violation_;
  std::uint64_t restarts_ = 0;
  ticket_number last_ticket_ = 0;
};

struct model_result {
  std::size_t states = 0;
  std::size_t steps = 0;
  std::size_t deepest = 0;  ///< Longest path, in steps.
  bool complete = true;     ///< False if a bound on states or steps cut the search.
  std::string violation;
  std::vector<std::string> trace;  ///< Steps that lead to the violation.
  std::map<claim_decision, std::size_t> decisions;
};

/// Visits every interleaving up to the bounds, each state once.
[[nodiscard]] model_result explore(const model_options& options);

/// Takes random steps; one run for each seed.
[[nodiscard]] model_result random_run(const model_options& options, std::uint64_t seed);

}  // namespace crocusdoor::testing

#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "platform_model.h"
#include "run_once/shard_log.h"

namespace crocusdoor::testing {

inline operation_key payout(const std::string& key) {
  return {action_name("payout"), idempotency_key(key)};
}

/// What happens to one platform operation. With `response_lost` the platform executes it, with
/// `request_lost` it doesn't; the owner gets the same unknown result in both cases.
enum class network_outcome { answered, response_lost, request_lost, unavailable };

/// Shard log of one owner, with its platform and a virtual clock.
class shard_fixture {
 public:
  explicit shard_fixture(platform_model& shared_platform, std::uint64_t seed = 1,
                         const shard_log_settings& settings = {})
      : platform(shared_platform), random(seed), log(0, random, settings) {}

  void take_ownership() { execute(log.take_ownership(now())); }
  void request_claim(ticket_number ticket, const std::string& key, const std::string& body = "100",
                     std::chrono::milliseconds deadline = std::chrono::seconds(5)) {
    execute(
        log.request_claim(ticket, {payout(key), digest_of(body), now().wall + deadline}, now()));
  }
  void complete(ticket_number ticket, ticket_number claimed, verdict outcome,
                const std::string& body = "paid") {
    const crocusdoor::claim held = *claim_responses.at(claimed).granted;
    execute(log.complete(ticket, held.id, held.operation, outcome,
                         recorded_response{200, "text/plain", byte_string{body}}, now()));
  }
  void resolve(ticket_number ticket, const std::string& key, bool ran) {
    execute(log.resolve(ticket, payout(key), {ran, std::nullopt}, now()));
  }

  /// Advances the clock by `span` and calls `tick` whenever a timer of the owner is due.
  void advance_clock(duration span) {
    const time_point end = clock.now + span;
    while (true) {
      const auto wakeup = log.next_wakeup();
      if (!wakeup.has_value() || *wakeup > end) {
        break;
      }
      set_clock(std::max(*wakeup, clock.now + duration(1)));
      execute(log.tick(now()));
    }
    set_clock(std::max(end, clock.now));
  }

  /// Executes effects, reports their results to the owner and executes the effects of these.
  void execute(const shard_effects& effects) {
    for (const shard_effect& effect : effects) {
      execute_effect(effect);
    }
  }

  [[nodiscard]] clock_reading now() const { return clock; }
  [[nodiscard]] claim_decision decision(ticket_number ticket) const {
    return claim_responses.at(ticket).decision;
  }
  [[nodiscard]] bool has_claim_response(ticket_number ticket) const {
    return claim_responses.contains(ticket);
  }

  platform_model& platform;
  random_source random;
  shard_log log;
  clock_reading clock{time_point(std::chrono::hours(1)), wall_time(std::chrono::hours(400'000))};
  std::function<network_outcome(const shard_effect&)> decide_outcome = [](const shard_effect&) {
    return network_outcome::answered;
  };
  std::map<ticket_number, claim_response> claim_responses;
  std::map<ticket_number, answer_completion> completions;
  std::map<ticket_number, answer_resolution> resolutions;
  std::size_t writes = 0;
  std::size_t reads = 0;

 private:
  void set_clock(time_point to) {
    clock.wall += std::chrono::duration_cast<std::chrono::milliseconds>(to - clock.now);
    clock.now = to;
  }

  void execute_effect(const shard_effect& effect) {
    if (const auto* claimed = std::get_if<answer_claim>(&effect)) {
      claim_responses[claimed->ticket] = claimed->response;
    } else if (const auto* completed = std::get_if<answer_completion>(&effect)) {
      completions[completed->ticket] = *completed;
    } else if (const auto* resolved = std::get_if<answer_resolution>(&effect)) {
      resolutions[resolved->ticket] = *resolved;
    } else {
      execute_on_platform(effect);
    }
  }

  void execute_on_platform(const shard_effect& effect) {
    const network_outcome outcome = decide_outcome(effect);
    std::optional<platform_result> result;
    if (outcome == network_outcome::answered || outcome == network_outcome::response_lost) {
      result = platform.execute(effect);
    }
    const std::string name = object_of(effect);
    if (name.empty()) {
      return;
    }
    ++(std::holds_alternative<read_object>(effect) ? reads : writes);
    if (outcome != network_outcome::answered) {
      const auto kind =
          outcome == network_outcome::unavailable ? result_kind::unavailable : result_kind::unknown;
      result = platform_result{kind, name, std::nullopt, 0};
    }
    execute(deliver(log, *result, now()));
  }
};

}  // namespace crocusdoor::testing

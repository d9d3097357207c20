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

/// Decides the fate of one platform operation: `lost` executes it and loses the response, `dropped`
/// loses the request, both without telling the owner which.
enum class fate { answered, lost, dropped, unavailable };

/// One owner and its platform on a virtual clock.
class shard_story {
 public:
  explicit shard_story(platform_model& objects, std::uint64_t seed = 1,
                       const shard_log_settings& settings = {})
      : platform(objects), random(seed), log(0, random, settings) {}

  void take() { run(log.take_ownership(now())); }
  void claim(ticket_number ticket, const std::string& key, const std::string& body = "100",
             std::chrono::milliseconds deadline = std::chrono::seconds(5)) {
    run(log.request_claim(ticket, {payout(key), digest_of(body), now().wall + deadline}, now()));
  }
  void complete(ticket_number ticket, ticket_number claimed, verdict outcome,
                const std::string& body = "paid") {
    const crocusdoor::claim held = *claims.at(claimed).granted;
    run(log.complete(ticket, held.id, held.operation, outcome,
                     recorded_response{200, "text/plain", byte_string{body}}, now()));
  }
  void resolve(ticket_number ticket, const std::string& key, bool ran) {
    run(log.resolve(ticket, payout(key), {ran, std::nullopt}, now()));
  }

  /// Lets the time pass in steps of the owner's own timers.
  void pass(duration span) {
    const time_point end = clock.now + span;
    while (true) {
      const auto wakeup = log.next_wakeup();
      if (!wakeup.has_value() || *wakeup > end) {
        break;
      }
      advance(std::max(*wakeup, clock.now + duration(1)));
      run(log.tick(now()));
    }
    advance(std::max(end, clock.now));
  }

  /// Executes effects and what follows from them until the owner waits for something else.
  void run(const shard_effects& effects) {
    for (const shard_effect& effect : effects) {
      run_one(effect);
    }
  }

  [[nodiscard]] clock_reading now() const { return clock; }
  [[nodiscard]] claim_decision decision(ticket_number ticket) const {
    return claims.at(ticket).decision;
  }
  [[nodiscard]] bool answered(ticket_number ticket) const { return claims.contains(ticket); }

  platform_model& platform;
  random_source random;
  shard_log log;
  clock_reading clock{time_point(std::chrono::hours(1)), wall_time(std::chrono::hours(400'000))};
  std::function<fate(const shard_effect&)> network = [](const shard_effect&) {
    return fate::answered;
  };
  std::map<ticket_number, claim_response> claims;
  std::map<ticket_number, answer_completion> completions;
  std::map<ticket_number, answer_resolution> resolutions;
  std::size_t writes = 0;
  std::size_t reads = 0;

 private:
  void advance(time_point to) {
    clock.wall += std::chrono::duration_cast<std::chrono::milliseconds>(to - clock.now);
    clock.now = to;
  }

  void run_one(const shard_effect& effect) {
    if (const auto* claimed = std::get_if<answer_claim>(&effect)) {
      claims[claimed->ticket] = claimed->response;
    } else if (const auto* completed = std::get_if<answer_completion>(&effect)) {
      completions[completed->ticket] = *completed;
    } else if (const auto* resolved = std::get_if<answer_resolution>(&effect)) {
      resolutions[resolved->ticket] = *resolved;
    } else {
      run_on_platform(effect);
    }
  }

  void run_on_platform(const shard_effect& effect) {
    const fate decided = network(effect);
    std::optional<platform_result> result;
    if (decided == fate::answered || decided == fate::lost) {
      result = platform.execute(effect);
    }
    const std::string name = object_of(effect);
    if (name.empty()) {
      return;
    }
    ++(std::holds_alternative<read_object>(effect) ? reads : writes);
    if (decided != fate::answered) {
      const auto kind =
          decided == fate::unavailable ? result_kind::unavailable : result_kind::unknown;
      result = platform_result{kind, name, std::nullopt, 0};
    }
    run(deliver(log, *result, now()));
  }
};

}  // namespace crocusdoor::testing

#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "platform_model.h"
#include "run_once/claim_service.h"

namespace crocusdoor::testing {

/// Operation counts and virtual latencies of a run; latencies are sorted.
struct load_figures {
  std::size_t actions = 0;
  std::size_t writes = 0;
  std::size_t reads = 0;
  duration elapsed{0};
  std::vector<duration> claim_latency;       ///< From the claim request to its grant.
  std::vector<duration> completion_latency;  ///< From the report of the completion to its record.

  [[nodiscard]] static duration quantile(const std::vector<duration>& sorted, double fraction) {
    return sorted.at(static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1)));
  }
};

/// Workers that execute run-once actions one after another, each with a new idempotency key,
/// against a platform that responds to every operation after the same latency. The clock is
/// virtual.
template <typename Log>
class action_load {
 public:
  action_load(Log& log, duration platform_latency, duration target_time)
      : log_(log), platform_latency_(platform_latency), target_time_(target_time) {}

  /// Executes effects, for example those of a takeover, until no event is left, and resets the
  /// counts.
  void execute_until_idle(const shard_effects& effects) {
    handle(effects);
    run_until(time_point::max());
    figures_ = {};
  }

  load_figures run(std::size_t workers, duration span) {
    const time_point start = clock_.now;
    end_ = start + span;
    for (std::size_t worker = 0; worker < workers; ++worker) {
      // Workers start at different times, like real callers.
      const auto offset = duration(static_cast<duration::rep>(worker * 997 % 4000));
      events_.emplace(start + offset, start_of_action{worker});
    }
    run_until(time_point::max());
    figures_.elapsed = span;
    std::sort(figures_.claim_latency.begin(), figures_.claim_latency.end());
    std::sort(figures_.completion_latency.begin(), figures_.completion_latency.end());
    return figures_;
  }

  [[nodiscard]] clock_reading now() const { return clock_; }

 private:
  struct start_of_action {
    std::size_t worker = 0;
  };
  struct end_of_action {
    claim held;
    ticket_number ticket = 0;
  };
  struct timer {};
  using event = std::variant<start_of_action, end_of_action, platform_result, timer>;

  void run_until(time_point end) {
    while (!events_.empty() && events_.begin()->first < end) {
      auto node = events_.extract(events_.begin());
      clock_.wall += std::chrono::duration_cast<std::chrono::milliseconds>(node.key() - clock_.now);
      clock_.now = node.key();
      std::visit([&](const auto& current_event) { handle_event(current_event); }, node.mapped());
    }
  }

  void handle_event(const start_of_action& action) {
    if (clock_.now >= end_) {
      return;
    }
    const ticket_number ticket = ++last_ticket_;
    started_[ticket] = {clock_.now, action.worker};
    const operation_key key{action_name("payout"), idempotency_key(std::to_string(ticket))};
    handle(log_.request_claim(
        ticket, {key, digest_of("body"), clock_.wall + std::chrono::minutes(10)}, clock_));
  }

  void handle_event(const end_of_action& action) {
    started_[action.ticket].first = clock_.now;
    handle(log_.complete(action.ticket, action.held.id, action.held.operation, verdict::ran,
                         recorded_response{200, "application/json", byte_string{"{}"}}, clock_));
  }

  void handle_event(const timer& /*timer*/) {
    timer_at_ = time_point::max();
    if constexpr (requires { log_.tick(clock_); }) {
      handle(log_.tick(clock_));
    }
  }

  void set_timer() {
    if constexpr (requires { log_.next_wakeup(); }) {
      const time_point at = std::max(log_.next_wakeup().value_or(time_point::max()), clock_.now);
      if (at < timer_at_) {
        timer_at_ = at;
        events_.emplace(at, timer{});
      }
    }
  }

  void handle_event(const platform_result& result) { handle(deliver(log_, result, clock_)); }

  void handle(const shard_effects& effects) {
    for (const shard_effect& effect : effects) {
      if (const auto* claimed = std::get_if<answer_claim>(&effect)) {
        figures_.claim_latency.push_back(clock_.now - started_.at(claimed->ticket).first);
        events_.emplace(clock_.now + target_time_,
                        end_of_action{claimed->response.granted.value(), claimed->ticket});
      } else if (const auto* completed = std::get_if<answer_completion>(&effect)) {
        const auto [started_at, worker] = started_.at(completed->ticket);
        figures_.completion_latency.push_back(clock_.now - started_at);
        figures_.actions += completed->recorded ? 1 : 0;
        started_.erase(completed->ticket);
        events_.emplace(clock_.now, start_of_action{worker});
      } else if (auto result = platform_.execute(effect); result.has_value()) {
        ++(std::holds_alternative<read_object>(effect) ? figures_.reads : figures_.writes);
        events_.emplace(clock_.now + platform_latency_, std::move(*result));
      }
    }
    set_timer();
  }

  Log& log_;
  duration platform_latency_;
  duration target_time_;
  platform_model platform_;
  clock_reading clock_{time_point(std::chrono::hours(1)), wall_time(std::chrono::hours(400'000))};
  time_point end_;
  time_point timer_at_ = time_point::max();
  std::multimap<time_point, event> events_;
  std::map<ticket_number, std::pair<time_point, std::size_t>> started_;
  ticket_number last_ticket_ = 0;
  load_figures figures_;
};

}  // namespace crocusdoor::testing

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rollout/rollout_decider.h"

namespace crocusdoor {

/// How the targets of the new version behave at a time after the order.
struct new_version_behaviour {
  double failing = 0;      ///< Part of the responses that fail.
  double slowness = 1;     ///< Factor on the service time.
  std::string only_class;  ///< The other work classes are not affected; empty for all.
};

/// Daemons with one service, a store with one order, and messages with delays, on a virtual clock.
/// The daemons use the production tables and deciders; targets have a speed and no queue.
class fleet_model {
 public:
  using behaviour = std::function<new_version_behaviour(duration since_order, double load)>;

  explicit fleet_model(std::uint64_t seed);

  /// Orders the version "v2". Its targets are ready some seconds later.
  void order(std::chrono::milliseconds span);
  /// Runs until the time after the order, and calls `check` at each step.
  void run_until(duration since_order, const std::function<void()>& check = {});

  void kill(std::size_t daemon);
  void cut(std::size_t index, bool cut) { daemons_[index].cut = cut; }
  [[nodiscard]] std::optional<std::size_t> decider() const;
  [[nodiscard]] std::int32_t permille() const;
  [[nodiscard]] std::optional<wire::rollout_phase> status() const;

  behaviour new_version = [](duration, double) { return new_version_behaviour{}; };
  double old_failing = 0.005;
  double requests_per_s = 600;  ///< Of all daemons.
  bool store_reachable = true;
  duration new_targets_after = std::chrono::seconds(2);
  bool new_targets = true;

  // What the targets and the store have seen since the order.
  std::uint64_t requests = 0;  ///< Until the deadline.
  std::uint64_t exposure = 0;
  std::uint64_t bad_responses = 0;
  std::optional<duration> fiftieth_bad;
  duration last_exposure{0};
  std::optional<duration> ended_at;
  std::uint64_t status_writes = 0;
  bool old_used_at_completion = false;

 private:
  struct daemon {
    instance_name name;
    std::uint64_t starts = 0;
    bool alive = true;
    bool cut = false;
    rollout_table table;
    std::optional<rollout_decider> decider;
  };

  void after(duration delay, std::function<void()> happens);
  void step();
  void check_deciders();
  void send_request(daemon& from);
  void read_order(daemon& reader);
  void send_state(std::size_t from, std::size_t to, const wire::rollout_state& state);
  void write(std::size_t from, const rollout_status_write& write);
  [[nodiscard]] std::vector<instance_name> linked(const daemon& self) const;
  [[nodiscard]] bool new_ready() const;

  random_source random_;
  time_point now_{std::chrono::seconds(1'000)};
  time_point ordered_at_{};
  std::multimap<time_point, std::function<void()>> events_;
  std::vector<daemon> daemons_;
  std::optional<rollout_order> stored_;
  std::uint64_t old_in_flight_ = 0;
  double due_ = 0;
};

}  // namespace crocusdoor

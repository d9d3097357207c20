#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "admission/admission_controller.h"
#include "core/verdict.h"
#include "event_queue.h"
#include "routing/load_report.h"

namespace crocusdoor::load_benchmark {

/// One attempt of a request on its way to a target.
struct attempt {
  std::uint64_t id = 0;
  std::size_t target = 0;
  time_point sent_at;
  time_point deadline;
  duration work{0};  ///< Service time at a target of normal speed.
  std::string work_class;
  bool executed = false;
  bool settled = false;  ///< Answered, or given up by its caller.
  std::function<void(verdict, load_report)> on_answer;
};

/// A target with its daemon's admission controller. Answers are delivered without network delay.
class fake_target {
 public:
  fake_target(event_queue& events, admission_policy policy, duration report_delay);

  void receive(const std::shared_ptr<attempt>& one);
  void cancel(std::uint64_t id);
  /// Requests that start from now on take `factor` times their service time.
  void set_slowdown(double factor) { slowdown_ = factor; }

 private:
  void apply(const admission_changes& changes);
  void start(const std::shared_ptr<attempt>& one);
  void refuse(std::uint64_t id);
  [[nodiscard]] load_report reported_load() const;
  void sample_load();
  void schedule_tick();

  event_queue& events_;
  admission_controller admission_;
  duration report_delay_;
  double slowdown_ = 1;
  bool tick_scheduled_ = false;
  std::unordered_map<std::uint64_t, std::shared_ptr<attempt>> present_;
  std::deque<load_report> past_loads_;
};

}  // namespace crocusdoor::load_benchmark

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

/// One attempt to run a request at a target.
struct attempt {
  std::uint64_t id = 0;
  std::size_t target = 0;
  time_point sent_at;
  time_point deadline;
  duration work{0};  ///< Service time at a target of normal speed.
  std::string work_class;
  bool executed = false;
  bool settled = false;  ///< Its response arrived or its caller abandoned it.
  std::function<void(verdict, load_report)> on_response;
};

/// A target with its daemon's admission controller. It calls `on_response` at once; the caller adds
/// the network delay.
class fake_target {
 public:
  fake_target(event_queue& events, admission_policy policy, duration report_delay);

  void receive(const std::shared_ptr<attempt>& incoming);
  void cancel(std::uint64_t id);
  /// Multiplies the service time of requests that start after this call by `factor`.
  void set_slowdown(double factor) { slowdown_ = factor; }

 private:
  void apply(const admission_changes& changes);
  void start(const std::shared_ptr<attempt>& admitted);
  void refuse(std::uint64_t id);
  [[nodiscard]] load_report reported_load() const;
  void sample_load();
  void schedule_tick();

  event_queue& events_;
  admission_controller admission_;
  duration report_delay_;
  double slowdown_ = 1;
  bool tick_scheduled_ = false;
  std::unordered_map<std::uint64_t, std::shared_ptr<attempt>> attempts_;  ///< Queued or running.
  std::deque<load_report> past_loads_;
};

}  // namespace crocusdoor::load_benchmark

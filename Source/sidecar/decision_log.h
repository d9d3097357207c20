#pragma once

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>

#include "core/time.h"
#include "sidecar/sidecar_settings.h"
#include "transport/event_loop.h"

namespace crocusdoor {

/// One key and value of a log line.
struct log_item {
  const char* key;
  nlohmann::json value;
};

/// Writes one JSON object a line to standard output: each decision that touches a request or
/// changes what the process believes.
///
/// Writing never blocks. Lines beyond the budget of a second, and lines that the reader of standard
/// output has no room for, are dropped and counted; a later line tells how many. Warnings and
/// errors have a budget of their own, so that routine lines cannot displace them.
class decision_log {
 public:
  decision_log(const timer_service& clock, std::string instance,
               const sidecar_log_settings& settings, int descriptor);

  void info(const char* event, std::initializer_list<log_item> items) {
    write(log_level::info, event, items);
  }
  void warning(const char* event, std::initializer_list<log_item> items) {
    write(log_level::warning, event, items);
  }
  void error(const char* event, std::initializer_list<log_item> items) {
    write(log_level::error, event, items);
  }

  void configure(const sidecar_log_settings& settings) { settings_ = settings; }
  [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

 private:
  void write(log_level level, const char* event, std::initializer_list<log_item> items);
  [[nodiscard]] bool within_budget(log_level level);

  const timer_service& clock_;
  std::string instance_;
  sidecar_log_settings settings_;
  int descriptor_;
  time_point second_began_{};
  std::int32_t routine_lines_ = 0;
  std::int32_t urgent_lines_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_reported_ = 0;
};

}  // namespace crocusdoor

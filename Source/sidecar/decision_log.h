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

/// Writes a log with one JSON object a line to a descriptor, usually standard output: each decision
/// that affects a request or changes the state that the process keeps about the mesh.
///
/// Writing never blocks. Lines beyond the limit for one second, and lines for which the descriptor
/// has no buffer space, are dropped and counted; a later line contains their number. Lines about
/// single requests and lines about the state of the process have separate limits, and so have the
/// warnings and errors of each, so that frequent lines cannot displace the others.
class decision_log {
 public:
  decision_log(const timer_service& clock, std::string instance,
               const sidecar_log_settings& settings, int descriptor);

  // Lines about the state of the process and its view of the mesh.
  void info(const char* event, std::initializer_list<log_item> items) {
    write(topic::state, log_level::info, event, items);
  }
  void warning(const char* event, std::initializer_list<log_item> items) {
    write(topic::state, log_level::warning, event, items);
  }
  void error(const char* event, std::initializer_list<log_item> items) {
    write(topic::state, log_level::error, event, items);
  }
  /// A line about one request.
  void request(log_level level, const char* event, std::initializer_list<log_item> items) {
    write(topic::request, level, event, items);
  }

  void configure(const sidecar_log_settings& settings) { settings_ = settings; }
  [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

 private:
  enum class topic { state, request };
  /// Lines written in the current second.
  struct line_counts {
    std::int32_t routine = 0;
    std::int32_t urgent = 0;
  };

  void write(topic subject, log_level level, const char* event,
             std::initializer_list<log_item> items);
  [[nodiscard]] bool within_budget(topic subject, log_level level);

  const timer_service& clock_;
  std::string instance_;
  sidecar_log_settings settings_;
  int descriptor_;
  time_point period_start_{};
  line_counts state_lines_;
  line_counts request_lines_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_reported_ = 0;
};

}  // namespace crocusdoor

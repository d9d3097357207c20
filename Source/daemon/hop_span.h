#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/trace_context.h"
#include "daemon/daemon_context.h"

namespace crocusdoor {

/// Trace span of one hop of a request; recorded when `finish` is called.
class hop_span {
 public:
  hop_span(const daemon_context& shared, std::string name, const std::string& traceparent);

  /// `traceparent` header for the next hop.
  [[nodiscard]] std::string traceparent() const { return format_traceparent(context_); }
  void tag(const std::string& key, std::string value) { tags_[key] = std::move(value); }
  /// Records the span; only the first call has an effect.
  void finish();

 private:
  const daemon_context& shared_;
  std::string name_;
  std::optional<trace_context> parent_;
  trace_context context_;
  time_point started_at_;
  wall_time wall_started_at_;
  std::map<std::string, std::string> tags_;
  bool finished_ = false;
};

}  // namespace crocusdoor

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "core/random_source.h"
#include "core/record_codec.h"
#include "core/trace_context.h"

namespace crocusdoor {

/// One finished hop of a request.
struct trace_span {
  trace_context context;
  std::string parent_span_id;  ///< Empty for the root of a trace.
  std::string name;
  std::int64_t started_at_us = 0;  ///< Wall time in microseconds since the Unix epoch.
  std::int64_t duration_us = 0;
  std::map<std::string, std::string> tags;
};

/// Ring buffer of the latest spans, which the API returns as Zipkin v2 JSON. The daemon stores
/// nothing on disk, so a span is lost if it is not fetched before newer spans replace it.
class trace_recorder {
 public:
  trace_recorder(std::string instance, std::size_t span_limit)
      : instance_(std::move(instance)), span_limit_(span_limit) {}

  void record(trace_span span);
  [[nodiscard]] json to_zipkin() const;

 private:
  std::string instance_;
  std::size_t span_limit_;
  std::deque<trace_span> spans_;
};

}  // namespace crocusdoor

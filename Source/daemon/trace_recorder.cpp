#include "daemon/trace_recorder.h"

#include <utility>

namespace crocusdoor {

void trace_recorder::record(trace_span span) {
  if (!span.context.sampled || span_limit_ == 0) {
    return;
  }
  if (spans_.size() >= span_limit_) {
    spans_.pop_front();
  }
  spans_.push_back(std::move(span));
}

json trace_recorder::to_zipkin() const {
  json result = json::array();
  for (const trace_span& span : spans_) {
    json span_document = {{"traceId", span.context.trace_id},
                          {"id", span.context.span_id},
                          {"name", span.name},
                          {"timestamp", span.started_at_us},
                          {"duration", span.duration_us},
                          {"localEndpoint", {{"serviceName", instance_}}},
                          {"tags", span.tags}};
    if (!span.parent_span_id.empty()) {
      span_document["parentId"] = span.parent_span_id;
    }
    result.push_back(std::move(span_document));
  }
  return result;
}

}  // namespace crocusdoor

#include "daemon/hop_span.h"

#include <utility>

namespace crocusdoor {

hop_span::hop_span(const daemon_context& shared, std::string name, const std::string& traceparent)
    : shared_(shared),
      name_(std::move(name)),
      parent_(parse_traceparent(traceparent)),
      context_(start_span_context(parent_, shared.random)),
      started_at_(shared.loop.now()),
      wall_started_at_(event_loop::wall_now()) {}

void hop_span::finish() {
  if (finished_) {
    return;
  }
  finished_ = true;
  trace_span span;
  span.context = context_;
  span.parent_span_id = parent_.has_value() ? parent_->span_id : std::string();
  span.name = name_;
  span.started_at_us =
      std::chrono::duration_cast<std::chrono::microseconds>(wall_started_at_.time_since_epoch())
          .count();
  span.duration_us = (shared_.loop.now() - started_at_).count();
  span.tags = std::move(tags_);
  shared_.traces.record(std::move(span));
}

}  // namespace crocusdoor

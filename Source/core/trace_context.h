#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/random_source.h"

namespace crocusdoor {

/// Identity of a span and its trace as carried by the W3C `traceparent` header.
struct trace_context {
  std::string trace_id;  ///< 32 lower-case hexadecimal characters.
  std::string span_id;   ///< 16 lower-case hexadecimal characters.
  bool sampled = true;
  friend bool operator==(const trace_context&, const trace_context&) = default;
};

/// Parses a `traceparent` header of version 00. Returns `std::nullopt` if it is not valid.
[[nodiscard]] std::optional<trace_context> parse_traceparent(std::string_view text);

[[nodiscard]] std::string format_traceparent(const trace_context& context);

/// Context of a new span: a child of `parent` if there is one, otherwise the root of a new trace.
[[nodiscard]] trace_context start_span_context(const std::optional<trace_context>& parent,
                                               random_source& random);

}  // namespace crocusdoor

#include "core/trace_context.h"

#include <algorithm>

namespace crocusdoor {

namespace {

constexpr std::size_t trace_id_length = 32;
constexpr std::size_t span_id_length = 16;
constexpr std::size_t traceparent_length = 55;

bool is_identifier(std::string_view text) {
  const bool hexadecimal = std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
  const bool all_zero = std::all_of(text.begin(), text.end(), [](char c) { return c == '0'; });
  return hexadecimal && !all_zero;
}

}  // namespace

std::optional<trace_context> parse_traceparent(std::string_view text) {
  const bool has_valid_layout = text.size() == traceparent_length && text.substr(0, 3) == "00-" &&
                                text[35] == '-' && text[52] == '-';
  if (!has_valid_layout) {
    return std::nullopt;
  }
  const std::string_view trace_id = text.substr(3, trace_id_length);
  const std::string_view span_id = text.substr(36, span_id_length);
  if (!is_identifier(trace_id) || !is_identifier(span_id)) {
    return std::nullopt;
  }
  const bool sampled = (text[54] - '0') % 2 != 0;
  return trace_context{std::string(trace_id), std::string(span_id), sampled};
}

std::string format_traceparent(const trace_context& context) {
  return "00-" + context.trace_id + "-" + context.span_id + (context.sampled ? "-01" : "-00");
}

trace_context start_span_context(const std::optional<trace_context>& parent,
                                 random_source& random) {
  trace_context context;
  context.trace_id = parent.has_value() ? parent->trace_id : random.identifier();
  context.span_id = random.identifier().substr(0, span_id_length);
  context.sampled = !parent.has_value() || parent->sampled;
  return context;
}

}  // namespace crocusdoor

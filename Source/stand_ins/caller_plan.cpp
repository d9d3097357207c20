#include "stand_ins/caller_plan.h"

namespace crocusdoor::stand_ins {

namespace {

std::string with_number(std::string text, const std::string& number) {
  constexpr std::string_view placeholder = "{n}";
  std::size_t at = 0;
  while ((at = text.find(placeholder, at)) != std::string::npos) {
    text.replace(at, placeholder.size(), number);
    at += number.size();
  }
  return text;
}

}  // namespace

prepared_request prepare(const planned_request& kind, std::uint64_t number) {
  const std::string digits = std::to_string(number);
  prepared_request result{kind.method, with_number(kind.path, digits),
                          with_number(kind.body, digits), kind.headers};
  if (!kind.idempotency_key.empty()) {
    result.headers["Idempotency-Key"] = with_number(kind.idempotency_key, digits);
  }
  return result;
}

}  // namespace crocusdoor::stand_ins

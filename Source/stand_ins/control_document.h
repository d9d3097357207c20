#pragma once

#include <string>

#include "core/error.h"
#include "core/record_codec.h"

namespace crocusdoor::stand_ins {

/// Decodes the body of a control request into a record. Fails with `error_code::malformed` if
/// the text is not JSON, a key is unknown or a value is not accepted; the message lists every
/// problem.
template <typename Record>
[[nodiscard]] leaf::result<Record> parse_control_document(const std::string& text) {
  const json document = json::parse(text, nullptr, false, true);
  if (document.is_discarded()) {
    return leaf::new_error(failure{error_code::malformed, "not a JSON document"});
  }
  record_decoder decoder(unknown_keys::refused);
  Record result;
  decoder.decode(document, result);
  std::string message;
  for (const decode_problem& problem : decoder.problems()) {
    message += (message.empty() ? "" : "; ") + problem.path + ": " + problem.message;
  }
  if (!message.empty()) {
    return leaf::new_error(failure{error_code::malformed, message});
  }
  return result;
}

}  // namespace crocusdoor::stand_ins

#include "sidecar/sidecar_settings.h"

#include "configuration/document_parser.h"

namespace crocusdoor {

namespace {

/// A link is given up only after more than one heartbeat is missing.
constexpr int least_heartbeats_in_silence = 2;

std::vector<decode_problem> check(const sidecar_settings& values,
                                  std::vector<decode_problem> problems) {
  if (!problems.empty()) {
    return problems;
  }
  if (values.instance.name.empty()) {
    problems.push_back({"/instance/name", "found \"\"; a name is not empty"});
  }
  if (values.links.silence_limit_ms <
      values.links.heartbeat_interval_ms * least_heartbeats_in_silence) {
    problems.push_back({"/links/silence_limit_ms",
                        "value " + std::to_string(values.links.silence_limit_ms.count()) +
                            " is below twice /links/heartbeat_interval_ms"});
  }
  return problems;
}

}  // namespace

leaf::result<sidecar_settings> parse_sidecar_settings(std::string_view text) {
  BOOST_LEAF_AUTO(document, parse_document(text));
  record_decoder decoder(unknown_keys::refused);
  sidecar_settings result;
  decoder.decode(document.value, result);
  const std::vector<decode_problem> problems = check(result, decoder.problems());
  if (!problems.empty()) {
    return leaf::new_error(failure{error_code::malformed, describe_problems(document, problems)});
  }
  return result;
}

}  // namespace crocusdoor

#include "sidecar/sidecar_settings.h"

#include "configuration/document_parser.h"

namespace crocusdoor {

namespace {

/// The silence limit of a link covers at least this many heartbeat intervals, so that one missing
/// heartbeat does not close the link.
constexpr int minimum_silence_intervals = 2;

std::vector<decode_problem> check(const sidecar_settings& settings,
                                  std::vector<decode_problem> problems) {
  if (!problems.empty()) {
    return problems;
  }
  if (settings.instance.name.empty()) {
    problems.push_back({"/instance/name", "found \"\"; a name is not empty"});
  }
  if (settings.links.silence_limit_ms <
      settings.links.heartbeat_interval_ms * minimum_silence_intervals) {
    problems.push_back({"/links/silence_limit_ms",
                        "value " + std::to_string(settings.links.silence_limit_ms.count()) +
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

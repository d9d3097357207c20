#include "daemon/settings.h"

#include "configuration/document_parser.h"
#include "daemon/settings_checks.h"

namespace crocusdoor {

leaf::result<settings> parse_settings(std::string_view text) {
  BOOST_LEAF_AUTO(document, parse_document(text));
  record_decoder decoder(unknown_keys::refused);
  settings result;
  decoder.decode(document.value, result);
  const std::vector<decode_problem> problems =
      detail::check_settings(result, document.value, decoder.problems());
  if (!problems.empty()) {
    return leaf::new_error(failure{error_code::malformed, describe_problems(document, problems)});
  }
  return result;
}

}  // namespace crocusdoor

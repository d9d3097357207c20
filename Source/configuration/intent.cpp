#include "configuration/intent.h"

#include <set>
#include <utility>

#include "configuration/document_parser.h"
#include "configuration/resource_rules.h"
#include "configuration/resource_types.h"
#include "core/utf8.h"

namespace crocusdoor {

namespace {

constexpr std::string_view accepted_intents =
    "exactly one of put_service, put_route, put_action, remove_service, remove_route, "
    "remove_action is accepted";

class document_validator {
 public:
  explicit document_validator(const intent_document& document) : document_(document) {}

  std::vector<decode_problem> run() {
    check_line("/operator", document_.operator_name, operator_name_limit_bytes);
    check_line("/reason", document_.reason, reason_limit_bytes);
    if (document_.intents.empty()) {
      problems_.push_back({"/intents", "at least one intent is expected"});
    }
    for (std::size_t i = 0; i < document_.intents.size(); ++i) {
      check_intent("/intents/" + std::to_string(i), document_.intents[i]);
    }
    return std::move(problems_);
  }

 private:
  void check_line(const std::string& path, const std::string& text, std::size_t limit) {
    if (text.empty() || text.size() > limit || !is_utf8(text)) {
      problems_.push_back(
          {path, "a text of 1 to " + std::to_string(limit) + " bytes of valid UTF-8 is expected"});
    }
  }

  void check_intent(const std::string& path, const intent& checked) {
    int members = 0;
    detail::for_each_resource_type([&](const auto& type) {
      const std::string kind(to_string(type.kind));
      if (const auto& put = checked.*(type.put); put.has_value()) {
        ++members;
        const std::string pointer = path + "/put_" + kind;
        detail::check_resource(pointer, *put, problems_);
        check_named_once(pointer, kind, put->name.str());
      }
      if (const auto& removed = checked.*(type.remove); removed.has_value()) {
        ++members;
        const std::string pointer = path + "/remove_" + kind;
        detail::check_name(pointer, "", removed->str(), problems_);
        check_named_once(pointer, kind, removed->str());
      }
    });
    if (members != 1) {
      problems_.push_back({path, std::string(accepted_intents)});
    }
  }

  void check_named_once(const std::string& path, const std::string& kind, const std::string& name) {
    if (!named_.emplace(kind, name).second) {
      problems_.push_back(
          {path, kind + " \"" + name + "\" is named by an earlier intent of this document"});
    }
  }

  const intent_document& document_;
  std::vector<decode_problem> problems_;
  std::set<std::pair<std::string, std::string>> named_;
};

}  // namespace

std::vector<decode_problem> validate(const intent_document& document) {
  return document_validator(document).run();
}

leaf::result<intent_document> parse_intents(std::string_view text) {
  BOOST_LEAF_AUTO(document, parse_document(text));
  record_decoder decoder(unknown_keys::refused);
  intent_document intents;
  decoder.decode(document.value, intents);
  if (!decoder.ok()) {
    return leaf::new_error(
        failure{error_code::malformed, describe_problems(document, decoder.problems())});
  }
  const std::vector<decode_problem> problems = validate(intents);
  if (!problems.empty()) {
    return leaf::new_error(failure{error_code::invalid, describe_problems(document, problems)});
  }
  return intents;
}

}  // namespace crocusdoor

#include "command_line/command.h"
#include "configuration/document_parser.h"
#include "configuration/intent.h"
#include "daemon/settings.h"

namespace crocusdoor::command_line {

namespace {

/// Validates the text as an intent document or a settings file and returns which one it is. The
/// options --intent and --settings decide; without them, a document with the key "intents" is an
/// intent document and any other a settings file.
leaf::result<std::string> validate_text(const command_context& context, const std::string& text) {
  bool intents = context.options.has("intent");
  if (!intents && !context.options.has("settings")) {
    BOOST_LEAF_AUTO(document, parse_document(text));
    intents = document.value.is_object() && document.value.contains("intents");
  }
  if (intents) {
    BOOST_LEAF_CHECK(parse_intents(text));
    return std::string("intent");
  }
  BOOST_LEAF_CHECK(parse_settings(text));
  return std::string("settings");
}

exit_code validate_file(const command_context& context, const std::string& name) {
  return handle_failure(
      [&]() -> leaf::result<exit_code> {
        BOOST_LEAF_AUTO(text, read_input(name, context.streams.in));
        BOOST_LEAF_AUTO(kind, validate_text(context, text));
        if (context.json_output) {
          context.print_json({{"file", name}, {"kind", kind}, {"valid", true}});
        } else {
          context.streams.out << name << ": valid " << kind << "\n";
        }
        return exit_code::done;
      },
      [&](const failure& error) { return context.report_bad_input(name, error); });
}

exit_code run_validate(command_context& context) {
  if (context.options.arguments.empty()) {
    return context.usage_error("expected at least one file, or - for standard input");
  }
  if (context.options.has("intent") && context.options.has("settings")) {
    return context.usage_error("expected at most one of --intent and --settings");
  }
  exit_code worst = exit_code::done;
  for (const std::string& name : context.options.arguments) {
    if (validate_file(context, name) != exit_code::done) {
      worst = exit_code::usage;
    }
  }
  return worst;
}

}  // namespace

command validate_command() {
  return {"validate",
          "FILE...",
          "Check settings or intent files without contacting the system.",
          {{"settings", "", "the files are settings"}, {"intent", "", "the files are intents"}},
          &run_validate};
}

}  // namespace crocusdoor::command_line

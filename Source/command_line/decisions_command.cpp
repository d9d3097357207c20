#include "command_line/command.h"
#include "command_line/text_output.h"

namespace crocusdoor::command_line {

namespace {

std::string decision_text(const json& decision) {
  return text_of(decision, "decided_by") + ", " + text_of(decision, "decided_on") + ": " +
         text_of(decision, "reason");
}

void print_entry(std::ostream& out, const json& entry) {
  out << text_of(entry, "what") << " " << text_of(entry, "name") << "\n";
  const bool standing = entry.is_object() && entry.contains("standing");
  out << "  " << (standing ? "decided by " + decision_text(entry.at("standing")) : "removed")
      << "\n";
  for (const json& change : entries_of(entry, "changes")) {
    out << "  version " << number_of(change, "version") << ", "
        << time_text(static_cast<std::int64_t>(number_of(change, "confirmed_at_ms"))) << ", "
        << text_of(change, "change") << " by " << text_of(change, "operator") << ": "
        << text_of(change, "reason") << "\n";
  }
}

exit_code run_decisions(command_context& context) {
  if (context.options.arguments.size() > 1) {
    return context.usage_error("expected at most one name of a resource");
  }
  const api_response response = context.api.call("GET", "/v1/decisions");
  if (!response.ok()) {
    return context.report_failure(response);
  }
  const bool all = context.options.arguments.empty();
  json selected = json::array();
  for (const json& entry : entries_of(response.body, "decisions")) {
    if (all || text_of(entry, "name") == context.options.arguments.front()) {
      selected.push_back(entry);
    }
  }
  if (context.json_output) {
    context.print_json({{"decisions", selected}});
  } else {
    for (const json& entry : selected) {
      print_entry(context.streams.out, entry);
    }
  }
  if (!all && selected.empty()) {
    context.streams.err << "no decision is known on \"" << context.options.arguments.front()
                        << "\"\n";
    return exit_code::refused;
  }
  return exit_code::done;
}

}  // namespace

command decisions_command() {
  return {"decisions",
          "[NAME]",
          "List the standing decisions: who, when, why, and their history.",
          {},
          &run_decisions};
}

}  // namespace crocusdoor::command_line

#include <fstream>

#include "command_line/command.h"
#include "command_line/intent_options.h"
#include "command_line/text_output.h"
#include "configuration/plan.h"

namespace crocusdoor::command_line {

namespace {

/// Text of the intent document from the options, or from the file. Fails if the file cannot be
/// read.
leaf::result<std::string> intent_text(command_context& context) {
  if (has_intent_options(context.options)) {
    const intent_document document = intent_from(context.options);
    return encode_value(document).dump();
  }
  return read_input(context.options.arguments.front(), context.streams.in);
}

void print_change(std::ostream& out, const resource_change& change) {
  const char symbol = change.change == change_kind::added     ? '+'
                      : change.change == change_kind::removed ? '-'
                                                              : '~';
  out << symbol << " " << to_string(change.kind) << " " << change.name << "\n";
  const json& fields = change.change == change_kind::removed ? change.before : change.after;
  for (const auto& item : fields.items()) {
    if (item.key() == "name") {
      continue;
    }
    const bool changed = change.change == change_kind::changed;
    const json before = changed ? change.before.value(item.key(), json()) : json();
    if (changed && before != item.value()) {
      out << "    " << item.key() << ": " << value_text(item.key(), before) << " -> "
          << value_text(item.key(), item.value()) << "\n";
    } else if (!changed) {
      out << "    " << item.key() << ": " << value_text(item.key(), item.value()) << "\n";
    }
  }
}

void print_plan(std::ostream& out, const plan& new_plan) {
  out << "Plan " << new_plan.id << " against version " << new_plan.base_version << ":\n";
  for (const std::string& sentence : new_plan.sentences) {
    out << "  " << sentence << "\n";
  }
  out << "Changes:\n";
  for (const resource_change& change : new_plan.changes) {
    print_change(out, change);
  }
  std::uint64_t total = 0;
  std::string domains;
  for (const auto& [domain, count] : new_plan.where) {
    total += count;
    domains += (domains.empty() ? "" : ", ") + domain.str() + " " + std::to_string(count);
  }
  out << "Reaches " << total << " instances" << (domains.empty() ? "" : ": " + domains) << ".\n";
}

leaf::result<exit_code> save_plan(const command_context& context, const std::string& text) {
  const std::string name = context.options.value("out");
  std::ofstream file(name, std::ios::binary);
  file << text << "\n";
  file.close();
  if (!file) {
    return leaf::new_error(failure{error_code::not_found, "the file cannot be written"});
  }
  return exit_code::done;
}

exit_code show_plan(const command_context& context, const api_response& response) {
  const std::string text = response.body.dump(2);
  return handle_failure(
      [&]() -> leaf::result<exit_code> {
        BOOST_LEAF_AUTO(new_plan, parse_plan(text));
        if (context.options.has("out")) {
          BOOST_LEAF_CHECK(save_plan(context, text));
        }
        if (context.json_output) {
          context.print_json(response.body);
          return exit_code::done;
        }
        print_plan(context.streams.out, new_plan);
        context.streams.out << (context.options.has("out")
                                    ? "Nothing has changed yet. To confirm: crocusdoor confirm " +
                                          context.options.value("out") + "\n"
                                    : "Nothing has changed. Use --out FILE to keep the plan.\n");
        return exit_code::done;
      },
      [&](const failure& error) { return context.report_bad_input("the plan", error); });
}

exit_code run_plan(command_context& context) {
  const bool from_options = has_intent_options(context.options);
  if (context.options.arguments.size() != (from_options ? 0U : 1U)) {
    return context.usage_error(
        "expected one intent file (- for standard input) or the options of an intent, not both");
  }
  const std::string name = from_options ? "the options" : context.options.arguments.front();
  std::string text;
  // The rules that can be checked without the system are checked before the API is called.
  const exit_code checked = handle_failure(
      [&]() -> leaf::result<exit_code> {
        BOOST_LEAF_ASSIGN(text, intent_text(context));
        BOOST_LEAF_CHECK(parse_intents(text));
        return exit_code::done;
      },
      [&](const failure& error) { return context.report_bad_input(name, error); });
  if (!context.options.problems.empty()) {
    return context.usage_error(context.options.problems.front());
  }
  if (checked != exit_code::done) {
    return checked;
  }
  const api_response response = context.api.call("POST", "/v1/plans", text);
  return response.ok() ? show_plan(context, response) : context.report_failure(response);
}

}  // namespace

command plan_command() {
  std::vector<option_description> options = intent_options();
  options.insert(options.begin(), {"out", "FILE", "save the plan document for \"confirm\""});
  return {"plan", "[INTENT-FILE]", "Show what an intent would change; nothing takes effect.",
          options, &run_plan};
}

}  // namespace crocusdoor::command_line

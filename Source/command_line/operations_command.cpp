#include "command_line/command.h"
#include "command_line/text_output.h"

namespace crocusdoor::command_line {

namespace {

void print_operations(std::ostream& out, const json& operations) {
  for (const json& operation : operations) {
    out << text_of(operation, "action") << " " << text_of(operation, "key") << ": "
        << text_of(operation, "progress") << (flag_of(operation, "in_doubt") ? ", in doubt" : "")
        << "\n";
    print_members(out, operation, "  ", {"action", "key", "progress", "in_doubt"});
  }
}

exit_code list_operations(command_context& context) {
  const bool in_doubt = context.options.has("in-doubt");
  const bool single_operation = context.options.has("action") && context.options.has("key");
  if (in_doubt == single_operation) {
    return context.usage_error("expected --action and --key, or --in-doubt");
  }
  const std::string query = in_doubt
                                ? "in_doubt=true"
                                : "action=" + encode_query_value(context.options.value("action")) +
                                      "&key=" + encode_query_value(context.options.value("key"));
  const api_response response = context.api.call("GET", "/v1/operations?" + query);
  if (!response.ok()) {
    return context.report_failure(response);
  }
  if (context.json_output) {
    context.print_json(response.body);
  } else {
    print_operations(context.streams.out, entries_of(response.body, "operations"));
    for (const json& instance : entries_of(response.body, "instances_without_answer")) {
      context.streams.err << "instance " << value_text("", instance)
                          << " did not answer; its operations are missing from the list\n";
    }
  }
  return exit_code::done;
}

exit_code resolve_operation(command_context& context) {
  const bool ran = context.options.has("ran");
  if (ran == context.options.has("not-run")) {
    return context.usage_error("expected either --ran or --not-run");
  }
  for (const char* required : {"action", "key", "note", "operator"}) {
    if (context.options.value(required).empty()) {
      return context.usage_error("--" + std::string(required) + " is needed");
    }
  }
  const json body = {{"action", context.options.value("action")},
                     {"key", context.options.value("key")},
                     {"outcome", ran ? "ran" : "not_run"},
                     {"note", context.options.value("note")},
                     {"operator", context.options.value("operator")}};
  const std::string text = body.dump(-1, ' ', false, json::error_handler_t::replace);
  const api_response response = context.api.call("POST", "/v1/operations/resolve", text);
  if (!response.ok()) {
    return context.report_failure(response);
  }
  if (context.json_output) {
    context.print_json(response.body);
  } else {
    context.streams.out << "Recorded that " << context.options.value("action") << " "
                        << context.options.value("key") << (ran ? " ran.\n" : " has not run.\n");
  }
  return exit_code::done;
}

exit_code run_operations(command_context& context) {
  const std::vector<std::string>& arguments = context.options.arguments;
  if (arguments.empty()) {
    return list_operations(context);
  }
  if (arguments.size() == 1 && arguments.front() == "resolve") {
    return resolve_operation(context);
  }
  return context.usage_error("expected no argument, or \"resolve\"");
}

}  // namespace

command operations_command() {
  return {"operations",
          "[resolve]",
          "Show operations of run-once actions, or settle one that is in doubt.",
          {{"action", "NAME", "run-once action"},
           {"key", "KEY", "idempotency key"},
           {"in-doubt", "", "list all operations in doubt"},
           {"ran", "", "resolve: the operation was executed"},
           {"not-run", "", "resolve: the operation was not executed and may be repeated"},
           {"note", "TEXT", "resolve: how this was found out"},
           {"operator", "NAME", "resolve: who settles it"}},
          &run_operations};
}

}  // namespace crocusdoor::command_line

#include "command_line/command.h"
#include "command_line/text_output.h"

namespace crocusdoor::command_line {

namespace {

exit_code list_suspicions(command_context& context) {
  const api_response response = context.api.call("GET", "/v1/suspicions");
  if (!response.ok()) {
    return context.report_failure(response);
  }
  if (context.json_output) {
    context.print_json(response.body);
    return exit_code::done;
  }
  const json entries = entries_of(response.body, "suspicions");
  if (entries.empty()) {
    context.streams.out << "No request is suspected of crashing targets.\n";
  }
  for (const json& entry : entries) {
    context.streams.out << "request " << text_of(entry, "request") << "\n";
    print_members(context.streams.out, entry, "  ", {"request"});
  }
  return exit_code::done;
}

exit_code clear_suspicion(command_context& context, const std::string& request) {
  const std::string operator_name = context.options.value("operator");
  if (operator_name.empty()) {
    return context.usage_error("--operator is needed");
  }
  const json body = {{"request", request}, {"operator", operator_name}};
  const std::string text = body.dump(-1, ' ', false, json::error_handler_t::replace);
  const api_response response = context.api.call("POST", "/v1/suspicions/clear", text);
  if (!response.ok()) {
    return context.report_failure(response);
  }
  if (context.json_output) {
    context.print_json(response.body);
  } else {
    context.streams.out << "Cleared the suspicion of request " << request << ".\n";
  }
  return exit_code::done;
}

exit_code run_suspicions(command_context& context) {
  const std::vector<std::string>& arguments = context.options.arguments;
  if (arguments.empty() || (arguments.size() == 1 && arguments.front() == "list")) {
    return list_suspicions(context);
  }
  if (arguments.size() == 2 && arguments.front() == "clear") {
    return clear_suspicion(context, arguments.back());
  }
  return context.usage_error("expected \"list\", or \"clear\" and the digest of a request");
}

}  // namespace

command suspicions_command() {
  return {"suspicions",
          "[list | clear REQUEST]",
          "List or clear the requests suspected of crashing targets.",
          {{"operator", "NAME", "clear: who clears the suspicion"}},
          &run_suspicions};
}

}  // namespace crocusdoor::command_line

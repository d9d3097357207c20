#include "command_line/command.h"
#include "command_line/text_output.h"

namespace crocusdoor::command_line {

namespace {

exit_code run_drain(command_context& context) {
  if (context.options.arguments.size() != 1 || context.options.arguments.front().empty()) {
    return context.usage_error("expected the name of one instance");
  }
  const std::string instance = context.options.arguments.front();
  const json body = {{"instance", instance}};
  const std::string text = body.dump(-1, ' ', false, json::error_handler_t::replace);
  const api_response response = context.api.call("POST", "/v1/drain", text);
  if (!response.ok()) {
    return context.report_failure(response);
  }
  if (context.json_output) {
    context.print_json(response.body);
  } else {
    context.streams.out << "Instance " << instance
                        << " takes no new requests and finishes what runs.\n";
  }
  return exit_code::done;
}

}  // namespace

command drain_command() {
  return {"drain", "INSTANCE", "Stop an instance without interrupting a request.", {}, &run_drain};
}

}  // namespace crocusdoor::command_line

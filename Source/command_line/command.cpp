#include "command_line/command.h"

#include <fstream>
#include <iterator>

#include "command_line/text_output.h"

namespace crocusdoor::command_line {

exit_code command_context::usage_error(const std::string& message) const {
  streams.err << message << "\n";
  return exit_code::usage;
}

exit_code command_context::report_failure(const api_response& response) const {
  if (!response.arrived()) {
    const bool answered = response.outcome == http_outcome::answered;
    const std::string cause =
        answered ? "status " + std::to_string(response.status) + " with a body that is not JSON"
                 : std::string(to_string(response.outcome));
    streams.err << "no answer from the intent API at " << to_string(api.endpoint()) << ": " << cause
                << "\n";
    return exit_code::unreachable;
  }
  if (json_output) {
    print_json(response.body);
  } else {
    streams.err << error_text(response.body, response.status);
  }
  switch (response.status) {
    case 400:
    case 413:
      return exit_code::usage;
    case 409:
      return exit_code::conflict;
    default:
      return exit_code::refused;
  }
}

exit_code command_context::report_bad_input(const std::string& name, const failure& error) const {
  if (json_output) {
    print_json({{"code", std::string(to_string(error.code))},
                {"message", name + " is not accepted"},
                {"problems", problems_of(error.message)}});
  } else {
    streams.err << name << ":\n" << error.message << "\n";
  }
  return exit_code::usage;
}

void command_context::print_json(const json& document) const {
  streams.out << document.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
}

const std::vector<option_description>& common_options() {
  static const std::vector<option_description> options = {
      {"api", "ADDRESS:PORT",
       "intent API of any daemon (default $CROCUSDOOR_API or "
       "127.0.0.1:7402)"},
      {"timeout-ms", "N", "longest wait for one answer (default 10000)"},
      {"json", "", "print JSON"},
      {"help", "", "print this text"}};
  return options;
}

leaf::result<std::string> read_input(const std::string& name, std::istream& standard) {
  if (name == "-") {
    return std::string(std::istreambuf_iterator<char>(standard), {});
  }
  std::ifstream file(name, std::ios::binary);
  std::string text(std::istreambuf_iterator<char>(file), {});
  if (!file.is_open() || file.bad()) {
    return leaf::new_error(failure{error_code::not_found, "the file cannot be read"});
  }
  return text;
}

const std::vector<command>& all_commands() {
  static const std::vector<command> commands = {
      plan_command(),       confirm_command(),    decisions_command(), status_command(),
      operations_command(), suspicions_command(), drain_command(),     validate_command()};
  return commands;
}

}  // namespace crocusdoor::command_line

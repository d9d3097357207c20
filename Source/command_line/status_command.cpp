#include <algorithm>
#include <iomanip>

#include "command_line/command.h"
#include "command_line/text_output.h"

namespace crocusdoor::command_line {

namespace {

constexpr const char* columns[] = {"name", "domain", "service", "state", "version", "lag_reason"};

std::string cell(const json& instance, const std::string& key) {
  const bool present =
      instance.is_object() && instance.contains(key) && !instance.at(key).is_null();
  return present ? value_text(key, instance.at(key)) : std::string();
}

void print_table(std::ostream& out, const json& instances) {
  for (const char* column : columns) {
    std::size_t width = std::string(column).size();
    for (const json& instance : instances) {
      width = std::max(width, cell(instance, column).size());
    }
    out << std::left << std::setw(static_cast<int>(width) + 2) << column;
  }
  out << "\n";
  for (const json& instance : instances) {
    for (const char* column : columns) {
      std::size_t width = std::string(column).size();
      for (const json& other : instances) {
        width = std::max(width, cell(other, column).size());
      }
      out << std::left << std::setw(static_cast<int>(width) + 2) << cell(instance, column);
    }
    out << "\n";
  }
}

exit_code run_status(command_context& context) {
  if (!context.options.arguments.empty()) {
    return context.usage_error("status takes no arguments");
  }
  const api_response response = context.api.call("GET", "/v1/status");
  if (!response.ok()) {
    return context.report_failure(response);
  }
  if (context.json_output) {
    context.print_json(response.body);
    return exit_code::done;
  }
  const bool in_force = flag_of(response.body, "in_force");
  context.streams.out << "Version " << number_of(response.body, "version")
                      << (in_force ? " is in force on every live instance"
                                   : " is not in force on every live instance")
                      << "; the platform is " << text_of(response.body, "platform")
                      << " (as seen by " << text_of(response.body, "instance") << ").\n";
  print_table(context.streams.out, entries_of(response.body, "instances"));
  return exit_code::done;
}

}  // namespace

command status_command() {
  return {
      "status", "", "Show which instance holds which version, who lags and why.", {}, &run_status};
}

}  // namespace crocusdoor::command_line

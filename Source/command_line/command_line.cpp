#include <algorithm>
#include <cstdlib>
#include <optional>

#include "command_line/command.h"

namespace crocusdoor::command_line {

namespace {

constexpr const char* default_api = "127.0.0.1:7402";
constexpr std::int64_t max_timeout_ms = 600'000;

std::string overview() {
  std::string text = "Usage: crocusdoor COMMAND [OPTION...]\n\nCommands:\n";
  for (const command& subcommand : all_commands()) {
    text += "  " + subcommand.name + std::string(14 - subcommand.name.size(), ' ') +
            subcommand.summary + "\n";
  }
  text += "\nOptions of every command:\n" + option_help(common_options());
  text +=
      "\nExit codes: 0 done, 1 refused by the system, 2 usage or bad input,\n"
      "3 system unreachable, 4 conflict.\n";
  return text;
}

std::string help_of(const command& subcommand) {
  std::string text = "Usage: crocusdoor " + subcommand.name;
  text += subcommand.arguments.empty() ? "" : " " + subcommand.arguments;
  text += " [OPTION...]\n\n" + subcommand.summary + "\n\n";
  return text + option_help(subcommand.options) + option_help(common_options());
}

std::optional<ip_endpoint> parse_endpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  parsed_options port;
  port.values["port"] = {text.substr(colon + 1)};
  const std::int64_t number = port.number("port", 0, 1, 65'535);
  if (!port.problems.empty()) {
    return std::nullopt;
  }
  return ip_endpoint{text.substr(0, colon), static_cast<std::uint16_t>(number)};
}

std::string api_address(const parsed_options& options) {
  const char* from_environment = std::getenv("CROCUSDOOR_API");
  return options.value("api", from_environment != nullptr ? from_environment : default_api);
}

exit_code run_command(const command& subcommand, const std::vector<std::string>& arguments,
                      event_loop& loop, const program_streams& streams) {
  std::vector<option_description> accepted = subcommand.options;
  accepted.insert(accepted.end(), common_options().begin(), common_options().end());
  parsed_options options = parse_options(accepted, arguments);
  if (options.has("help")) {
    streams.out << help_of(subcommand);
    return exit_code::done;
  }
  const std::string address = api_address(options);
  const std::optional<ip_endpoint> api = parse_endpoint(address);
  if (!api.has_value()) {
    options.problems.push_back("--api: expected ADDRESS:PORT, found \"" + address + "\"");
  }
  const auto timeout =
      std::chrono::milliseconds(options.number("timeout-ms", 10'000, 1, max_timeout_ms));
  if (!options.problems.empty()) {
    for (const std::string& problem : options.problems) {
      streams.err << problem << "\n";
    }
    streams.err << "See \"crocusdoor " << subcommand.name << " --help\".\n";
    return exit_code::usage;
  }
  api_client client(loop, *api, timeout);
  command_context context(std::move(options), loop, streams, client);
  return subcommand.run(context);
}

}  // namespace

exit_code run_command_line(const std::vector<std::string>& arguments, event_loop& loop,
                           const program_streams& streams) {
  if (arguments.empty()) {
    streams.err << overview();
    return exit_code::usage;
  }
  if (arguments.front() == "--help" || arguments.front() == "help") {
    streams.out << overview();
    return exit_code::done;
  }
  const auto& commands = all_commands();
  const auto found = std::find_if(commands.begin(), commands.end(), [&](const command& subcommand) {
    return subcommand.name == arguments.front();
  });
  if (found == commands.end()) {
    streams.err << "unknown command \"" << arguments.front() << "\"; see \"crocusdoor --help\"\n";
    return exit_code::usage;
  }
  return run_command(*found, {arguments.begin() + 1, arguments.end()}, loop, streams);
}

}  // namespace crocusdoor::command_line

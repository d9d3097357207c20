#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "command_line/api_client.h"
#include "command_line/exit_code.h"
#include "command_line/options.h"
#include "core/error.h"
#include "transport/event_loop.h"

namespace crocusdoor::command_line {

/// Standard streams of the program.
struct program_streams {
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
};

/// Options, streams and API client of one run of a sub-command.
struct command_context {
  command_context(parsed_options parsed, event_loop& command_loop,
                  const program_streams& standard_streams, api_client& client)
      : options(std::move(parsed)),
        loop(command_loop),
        streams(standard_streams),
        api(client),
        json_output(options.has("json")) {}

  parsed_options options;
  event_loop& loop;
  program_streams streams;
  api_client& api;
  bool json_output;

  /// Prints the message to standard error.
  exit_code usage_error(const std::string& message) const;
  /// Reports a response other than success and returns the exit code for it.
  exit_code report_failure(const api_response& response) const;
  /// Reports that an input was rejected, one line for each problem of `error`.
  /// `name` is the file name or another description of the input.
  exit_code report_bad_input(const std::string& name, const failure& error) const;
  /// Prints a document as indented JSON.
  void print_json(const json& document) const;
};

/// One sub-command.
struct command {
  std::string name;
  std::string arguments;  ///< Placeholders of the arguments in the usage line.
  std::string summary;
  std::vector<option_description> options;  ///< In addition to `common_options`.
  exit_code (*run)(command_context& context);
};

/// Options that every sub-command accepts.
[[nodiscard]] const std::vector<option_description>& common_options();

/// Reads a whole file, or standard input for "-". Fails with `error_code::not_found`.
[[nodiscard]] leaf::result<std::string> read_input(const std::string& name, std::istream& standard);

/// The sub-commands, in the order of the help text.
[[nodiscard]] const std::vector<command>& all_commands();

[[nodiscard]] command plan_command();
[[nodiscard]] command confirm_command();
[[nodiscard]] command decisions_command();
[[nodiscard]] command status_command();
[[nodiscard]] command operations_command();
[[nodiscard]] command suspicions_command();
[[nodiscard]] command drain_command();
[[nodiscard]] command validate_command();

/// Runs one command line, without the program name. Calls to the API run on `loop`.
exit_code run_command_line(const std::vector<std::string>& arguments, event_loop& loop,
                           const program_streams& streams);

}  // namespace crocusdoor::command_line

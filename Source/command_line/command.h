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

/// What a sub-command works with.
struct command_context {
  command_context(parsed_options given, event_loop& owner, const program_streams& standard,
                  api_client& client)
      : options(std::move(given)),
        loop(owner),
        streams(standard),
        api(client),
        json_output(options.has("json")) {}

  parsed_options options;
  event_loop& loop;
  program_streams streams;
  api_client& api;
  bool json_output;

  /// Prints the message to standard error.
  exit_code usage_error(const std::string& message) const;
  /// Reports an answer other than success and returns the exit code that it means.
  exit_code report_failure(const api_answer& answer) const;
  /// Reports a failure of the library about an input: one line for each fault.
  exit_code report_bad_input(const std::string& name, const failure& error) const;
  /// Prints a document as indented JSON.
  void print_json(const json& document) const;
};

/// One sub-command.
struct command {
  std::string name;
  std::string arguments;  ///< Arguments in the usage line.
  std::string summary;
  std::vector<option_description> options;  ///< Besides the common ones.
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

#pragma once

#include <csignal>
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "command_line/options.h"
#include "transport/event_loop.h"

namespace crocusdoor::stand_ins {

/// Prints the help text if --help is present, or else the problems of the command line. Returns
/// true if the program is to continue; otherwise sets `exit_code`.
inline bool check_command_line(const parsed_options& options,
                               const std::vector<option_description>& accepted,
                               const std::string& usage, int& exit_code) {
  const bool help = options.has("help");
  if (!help && options.problems.empty()) {
    return true;
  }
  for (const std::string& problem : options.problems) {
    std::cerr << problem << "\n";
  }
  (help ? std::cout : std::cerr) << "Usage: " << usage << "\n" << option_help(accepted);
  exit_code = help ? 0 : 2;
  return false;
}

/// Prints the port, then runs the loop until SIGINT or SIGTERM.
inline void serve(event_loop& loop, std::uint16_t port) {
  std::cout << "listening on port " << port << std::endl;
  loop.on_signal(SIGINT, [&loop] { loop.stop(); });
  loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
  loop.run();
}

}  // namespace crocusdoor::stand_ins

#pragma once

namespace crocusdoor::command_line {

/// Exit codes of the command line; scripts depend on the numbers.
enum class exit_code {
  done = 0,
  refused = 1,      ///< The system was reached and refused, or did not finish in time.
  usage = 2,        ///< Wrong command line or bad input file.
  unreachable = 3,  ///< No complete response from an intent API arrived.
  conflict = 4,     ///< The configuration has changed since the plan was made.
};

}  // namespace crocusdoor::command_line

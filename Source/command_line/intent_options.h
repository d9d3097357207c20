#pragma once

#include <vector>

#include "command_line/options.h"
#include "configuration/intent.h"

namespace crocusdoor::command_line {

/// Options that state one intent on the command line instead of in a file.
[[nodiscard]] std::vector<option_description> intent_options();

/// Whether the command line states an intent.
[[nodiscard]] bool states_intent(const parsed_options& options);

/// The intent document that the options state. Wrong values are added to `options.problems`.
[[nodiscard]] intent_document intent_from(parsed_options& options);

}  // namespace crocusdoor::command_line

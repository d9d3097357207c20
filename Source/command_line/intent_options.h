#pragma once

#include <vector>

#include "command_line/options.h"
#include "configuration/intent.h"

namespace crocusdoor::command_line {

/// Options that describe the intents of a plan on the command line instead of in a file.
[[nodiscard]] std::vector<option_description> intent_options();

/// Whether the command line has an option that puts or removes a resource.
[[nodiscard]] bool has_intent_options(const parsed_options& options);

/// Builds the intent document from the options. Missing and invalid values are added to
/// `options.problems`.
[[nodiscard]] intent_document intent_from(parsed_options& options);

}  // namespace crocusdoor::command_line

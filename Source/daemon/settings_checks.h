#pragma once

#include <vector>

#include "core/record_codec.h"
#include "daemon/settings.h"

namespace crocusdoor::detail {

/// The problems found while decoding, followed by the rules that the decoded values break. A rule
/// is not checked for a value that is missing without a default or that did not decode.
[[nodiscard]] std::vector<decode_problem> check_settings(
    const settings& values, const json& document, const std::vector<decode_problem>& decoding);

}  // namespace crocusdoor::detail

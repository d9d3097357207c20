#pragma once

#include <vector>

#include "core/record_codec.h"
#include "daemon/settings.h"

namespace crocusdoor::detail {

/// Returns the problems found while decoding, followed by one problem for each rule that the
/// decoded values break. A rule is not checked for a value that is missing without a default or
/// that could not be decoded.
[[nodiscard]] std::vector<decode_problem> check_settings(
    const settings& values, const json& document,
    const std::vector<decode_problem>& decoding_problems);

}  // namespace crocusdoor::detail

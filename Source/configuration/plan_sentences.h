#pragma once

#include <string>

#include "configuration/snapshot.h"
#include "configuration/snapshot_diff.h"

namespace crocusdoor::detail {

/// Sentence that tells an operator what a change does. `after` is the whole snapshot that the
/// change leads to; it decides what becomes of the paths of a removed route.
[[nodiscard]] std::string describe_change(const resource_change& change, const snapshot& after);

}  // namespace crocusdoor::detail

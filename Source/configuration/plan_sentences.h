#pragma once

#include <string>

#include "configuration/snapshot.h"
#include "configuration/snapshot_diff.h"

namespace crocusdoor::detail {

/// Sentence that describes the effect of a change to an operator. `after` is the whole snapshot
/// after the change; it determines which route receives the paths of a removed route.
[[nodiscard]] std::string describe_change(const resource_change& change, const snapshot& after);

}  // namespace crocusdoor::detail

#pragma once

#include <string>
#include <vector>

#include "configuration/route.h"
#include "configuration/run_once_action.h"
#include "configuration/service.h"
#include "core/record_codec.h"

namespace crocusdoor::detail {

/// Adds one problem to `problems` for each rule that the resource breaks on its own; `path` is the
/// JSON pointer of the resource. `validate(const snapshot&)` checks references to other resources.
void check_resource(const std::string& path, const service& resource,
                    std::vector<decode_problem>& problems);
void check_resource(const std::string& path, const route& resource,
                    std::vector<decode_problem>& problems);
void check_resource(const std::string& path, const run_once_action& action,
                    std::vector<decode_problem>& problems);

/// Adds a problem unless `name` is accepted as the name of a resource. Its JSON pointer is `path`
/// followed by `member`.
void check_name(const std::string& path, const char* member, const std::string& name,
                std::vector<decode_problem>& problems);

}  // namespace crocusdoor::detail

#pragma once

#include <string>
#include <vector>

#include "configuration/route.h"
#include "configuration/run_once_action.h"
#include "configuration/service.h"
#include "core/record_codec.h"

namespace crocusdoor::detail {

/// Adds every rule that a resource breaks by itself to `problems`; `path` is the JSON pointer of
/// the resource. References to other resources are checked by `validate(const snapshot&)`.
void check_resource(const std::string& path, const service& one,
                    std::vector<decode_problem>& problems);
void check_resource(const std::string& path, const route& one,
                    std::vector<decode_problem>& problems);
void check_resource(const std::string& path, const run_once_action& one,
                    std::vector<decode_problem>& problems);

/// Adds a problem unless `name`, which stands at the pointer `member` below `path`, is accepted as
/// the name of a resource.
void check_name(const std::string& path, const char* member, const std::string& name,
                std::vector<decode_problem>& problems);

}  // namespace crocusdoor::detail

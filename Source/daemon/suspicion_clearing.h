#pragma once

#include <optional>
#include <string>

#include "core/digest.h"
#include "transport/http_server.h"

namespace crocusdoor {

/// An operator's request to clear the suspicion that a request crashes targets.
struct suspicion_clearing {
  digest request;
  std::string operator_name;
};

/// Reads the clearing from the body of an API request. Responds with an error and returns nothing
/// if the body is malformed.
[[nodiscard]] std::optional<suspicion_clearing> read_suspicion_clearing(http_exchange& exchange);

/// Responds to a clearing: 404 if the request was not suspected.
void respond_cleared(http_exchange& exchange, bool cleared);

}  // namespace crocusdoor

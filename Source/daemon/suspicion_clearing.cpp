#include "daemon/suspicion_clearing.h"

#include "daemon/api_router.h"

namespace crocusdoor {

std::optional<suspicion_clearing> read_suspicion_clearing(http_exchange& exchange) {
  const json document = json::parse(exchange.request().body, nullptr, false);
  const bool valid = document.is_object() && document.value("request", json()).is_string() &&
                     document.value("operator", json()).is_string();
  if (!valid) {
    respond_error(exchange, 400, "malformed", "expected {\"request\": digest, \"operator\": name}");
    return std::nullopt;
  }
  return suspicion_clearing{digest(document["request"].get<std::string>()),
                            document["operator"].get<std::string>()};
}

void respond_cleared(http_exchange& exchange, bool cleared) {
  respond_json(exchange, cleared ? 200 : 404, {{"cleared", cleared}});
}

}  // namespace crocusdoor

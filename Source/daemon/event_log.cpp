#include "daemon/event_log.h"

#include <nlohmann/json.hpp>

namespace crocusdoor {

std::ostream& operator<<(std::ostream& out, const log_field& one) {
  const bool plain =
      !one.value.empty() && one.value.find_first_of(" \"=\t\r\n\\") == std::string::npos;
  out << ' ' << one.key << '=';
  if (plain) {
    return out << one.value;
  }
  return out << nlohmann::json(one.value).dump(-1, ' ', false,
                                               nlohmann::json::error_handler_t::replace);
}

}  // namespace crocusdoor

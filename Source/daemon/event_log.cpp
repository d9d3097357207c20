#include "daemon/event_log.h"

#include <nlohmann/json.hpp>

namespace crocusdoor {

std::ostream& operator<<(std::ostream& out, const log_field& entry) {
  const bool plain =
      !entry.value.empty() && entry.value.find_first_of(" \"=\t\r\n\\") == std::string::npos;
  out << ' ' << entry.key << '=';
  if (plain) {
    return out << entry.value;
  }
  return out << nlohmann::json(entry.value)
                    .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace crocusdoor

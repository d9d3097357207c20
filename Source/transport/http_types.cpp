#include "transport/http_types.h"

#include <strings.h>

#include <array>
#include <cstring>

namespace crocusdoor {

namespace {

constexpr std::array<const char*, 10> removed_headers = {
    "Connection",     "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",        "Upgrade",           "Expect",           "Transfer-Encoding",
    "Content-Length", "Proxy-Authenticate"};

constexpr const char* list_whitespace = " \t";

/// Calls `action` with each non-empty token of a comma-separated list until it returns true.
template <typename Action>
bool any_token(const std::string& list, Action action) {
  std::size_t begin = 0;
  while (begin <= list.size()) {
    const std::size_t comma = std::min(list.find(',', begin), list.size());
    const std::size_t first = list.find_first_not_of(list_whitespace, begin);
    if (first < comma) {
      const std::size_t last = list.find_last_not_of(list_whitespace, comma - 1);
      if (action(list.substr(first, last - first + 1))) {
        return true;
      }
    }
    begin = comma + 1;
  }
  return false;
}

}  // namespace

bool header_name_less::operator()(const std::string& left, const std::string& right) const {
  return strcasecmp(left.c_str(), right.c_str()) < 0;
}

const std::string& header_value(const http_headers& headers, const std::string& name) {
  static const std::string none;
  const auto found = headers.find(name);
  return found == headers.end() ? none : found->second;
}

bool has_token(const std::string& value, const std::string& token) {
  return any_token(value, [&](const std::string& candidate) {
    return strcasecmp(candidate.c_str(), token.c_str()) == 0;
  });
}

http_headers end_to_end_headers(const http_headers& headers) {
  http_headers forwarded = headers;
  any_token(header_value(headers, "Connection"), [&](const std::string& connection_option) {
    forwarded.erase(connection_option);
    return false;
  });
  for (const char* name : removed_headers) {
    forwarded.erase(name);
  }
  return forwarded;
}

}  // namespace crocusdoor

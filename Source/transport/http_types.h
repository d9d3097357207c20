#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace crocusdoor {

/// Orders header names without regard to case.
struct header_name_less {
  bool operator()(const std::string& left, const std::string& right) const;
};

using http_headers = std::map<std::string, std::string, header_name_less>;

/// Largest request or response body, in bytes.
inline constexpr std::size_t http_body_limit_bytes = 1'000'000;
/// Largest set of request or response headers, in bytes.
inline constexpr std::size_t http_headers_limit_bytes = 32'768;

struct http_request {
  std::string method;
  std::string target;  ///< Path and query.
  http_headers headers;
  std::string body;
};

struct http_response {
  int status = 0;
  http_headers headers;
  std::string body;
};

}  // namespace crocusdoor

#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace crocusdoor {

/// Orders header names without regard to case.
struct header_name_less {
  bool operator()(const std::string& left, const std::string& right) const;
};

/// Headers by name. Lines with the same name are joined by commas, as RFC 9110 section 5.3 allows.
using http_headers = std::map<std::string, std::string, header_name_less>;

/// Maximum size of a request or response body, in bytes.
inline constexpr std::size_t http_body_limit_bytes = 1'000'000;
/// Maximum size of all request or response headers together, in bytes.
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

/// Value of a header, or an empty string.
[[nodiscard]] const std::string& header_value(const http_headers& headers, const std::string& name);

/// Whether a comma-separated header value contains this token, without regard to case.
[[nodiscard]] bool has_token(const std::string& value, const std::string& token);

/// The headers that a proxy forwards: without hop-by-hop headers, which apply to one connection
/// only (RFC 9110 section 7.6.1), and without those that frame the body.
[[nodiscard]] http_headers end_to_end_headers(const http_headers& headers);

}  // namespace crocusdoor

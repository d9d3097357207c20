#pragma once

#include <string>
#include <vector>

namespace crocusdoor {

/// Status lines that no response may have.
inline const std::vector<std::string> invalid_status_lines = {
    "HTTP/1.1 000 Zero",  "HTTP/1.1 001 One",   "HTTP/1.1 099 Low",    "HTTP/1.1 600 High",
    "HTTP/1.1 700 High",  "HTTP/1.1 999 High",  "HTTP/1.1 20 Short",   "HTTP/1.1 2000 Long",
    "HTTP/1.1 +200 Sign", "HTTP/1.1 -200 Sign", "HTTP/1.1  200 Blank", "HTTP/1.1 2 0 Blank",
    "HTTP/1.1\t200 Tab",  " HTTP/1.1 200 OK",   "HTTP/2.0 200 OK",     "HTTP/0.9 200 OK",
    "HTTP/1.2 200 OK",    "HTTP/11 200 OK"};

/// Bytes of a response with this status line.
inline std::string with_status_line(const std::string& line, const std::string& headers = "") {
  return line + "\r\n" + headers + "Content-Length: 2\r\n\r\n{}";
}

}  // namespace crocusdoor

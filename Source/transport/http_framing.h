#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "transport/http_types.h"

namespace crocusdoor {

/// Maximum size of a message that a reader accepts.
struct http_size_limits {
  std::size_t header_bytes = http_headers_limit_bytes;
  std::size_t body_bytes = http_body_limit_bytes;
  friend bool operator==(const http_size_limits&, const http_size_limits&) = default;
};

enum class read_progress {
  incomplete,  ///< More bytes are needed.
  complete,    ///< A complete message has been read.
  refused,     ///< The bytes are not an acceptable message; the bytes after them are not usable.
};

namespace detail {
struct request_parser;
struct response_parser;
}  // namespace detail

/// Reads one request from a stream of bytes and decides where the request ends. A request whose
/// framing two readers could interpret differently is refused, which prevents request smuggling
/// (RFC 9112 sections 6 and 11.2).
class http_request_reader {
 public:
  explicit http_request_reader(http_size_limits limits);
  ~http_request_reader();
  http_request_reader(const http_request_reader&) = delete;
  http_request_reader& operator=(const http_request_reader&) = delete;
  http_request_reader(http_request_reader&&) noexcept;
  http_request_reader& operator=(http_request_reader&&) noexcept;

  /// Consumes the bytes of the request from the front of `bytes`.
  [[nodiscard]] read_progress read(std::string& bytes);

  /// Memory that the incomplete request occupies, that of containers included.
  [[nodiscard]] std::size_t held_bytes() const;
  /// Whether the headers are complete and the body is not.
  [[nodiscard]] bool in_body() const noexcept;
  /// Announced size of the body; empty if it is sent in chunks.
  [[nodiscard]] std::optional<std::uint64_t> body_length() const;
  /// Bytes of the body that have been read and not taken.
  [[nodiscard]] std::size_t untaken_body_bytes() const;
  /// Returns the request without its body, which is then taken in parts. Call once.
  [[nodiscard]] http_request take_head() { return std::move(request_); }
  /// Takes at most this many bytes from the front of the body.
  [[nodiscard]] std::string take_body(std::size_t limit);
  /// Whether the client expects a 100 response before it sends the body.
  [[nodiscard]] bool expects_continue() const;
  /// Status of the response to a refused request.
  [[nodiscard]] int refusal_status() const noexcept { return refusal_status_; }
  /// Whether the client keeps the connection after this request.
  [[nodiscard]] bool keep_alive() const;
  /// Returns the request. Call once, when it is complete.
  [[nodiscard]] http_request take();

 private:
  [[nodiscard]] bool accept_headers();

  std::unique_ptr<detail::request_parser> parser_;
  std::size_t framing_limit_bytes_;
  http_request request_;
  std::size_t header_memory_ = 0;  ///< Of the headers, in both containers.
  int refusal_status_ = 400;
};

/// Reads one response from a stream of bytes. Interim responses (1xx) are skipped.
class http_response_reader {
 public:
  http_response_reader(const std::string& request_method, http_size_limits limits);
  ~http_response_reader();
  http_response_reader(const http_response_reader&) = delete;
  http_response_reader& operator=(const http_response_reader&) = delete;
  http_response_reader(http_response_reader&&) noexcept;
  http_response_reader& operator=(http_response_reader&&) noexcept;

  /// Consumes the bytes of the response from the front of `bytes`.
  [[nodiscard]] read_progress read(std::string& bytes);
  /// Handles an orderly end of the connection. It completes a response without a stated length; any
  /// other incomplete response is truncated and refused.
  [[nodiscard]] read_progress read_end();

  /// Whether any byte of the response has been read.
  [[nodiscard]] bool begun() const noexcept { return begun_; }
  /// Whether the server keeps the connection after this response.
  [[nodiscard]] bool keep_alive() const;
  /// Returns the response. Call once, when it is complete.
  [[nodiscard]] http_response take();

 private:
  void start();

  std::string request_method_;
  http_size_limits limits_;
  std::unique_ptr<detail::response_parser> parser_;
  http_response response_;
  int interim_responses_ = 0;
  bool begun_ = false;
};

/// Serializes a request. `Content-Length` is added if it has a body or its method usually has one.
[[nodiscard]] std::string write_request(const http_request& request,
                                        const std::string& default_host);

/// Serializes a response to a request with the given method.
[[nodiscard]] std::string write_response(const http_response& response,
                                         const std::string& request_method, bool keep_alive);

}  // namespace crocusdoor

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// An IPv4 address on loopback and a port.
struct endpoint {
  std::string ip;
  std::uint16_t port = 0;
  [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

struct header_less {
  bool operator()(const std::string& left, const std::string& right) const;
};

/// A request or a response of HTTP/1.1 with a body of known length.
struct http_message {
  std::string first_line;
  std::map<std::string, std::string, header_less> headers;
  std::string body;

  [[nodiscard]] std::string header(const std::string& name) const;
  /// The n-th word of the first line; empty if there are fewer.
  [[nodiscard]] std::string word(std::size_t index) const;
  /// Status of a response; 0 if the first line is not a status line.
  [[nodiscard]] int status() const;
};

/// Properties of the link of a client; 0 leaves the default of loopback.
struct link_options {
  int segment_bytes = 0;         ///< Size of a TCP segment.
  int receive_buffer_bytes = 0;  ///< Limits the window that the client offers.
};

/// A blocking TCP connection that is closed with the object.
class connection {
 public:
  explicit connection(int descriptor) : descriptor_(descriptor) {}
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  /// Connects to an address; null if nobody listens there.
  static std::unique_ptr<connection> open(const endpoint& remote, const link_options& link = {});

  void set_read_timeout(milliseconds timeout) const;
  bool write(std::string_view bytes) const;
  /// Reads one message; false if the connection ended or the timeout passed before its end.
  bool read(http_message& message);
  /// Reads once, at most `limit` bytes. Returns the number of bytes, 0 at an orderly end and -1
  /// after an error or a timeout.
  std::ptrdiff_t read_some(std::string& bytes, std::size_t limit) const;
  void shut_down() const;

 private:
  int descriptor_;
  std::string buffer_;
};

/// Text of a request with a body of known length.
std::string request_text(const std::string& method, const std::string& path,
                         const std::map<std::string, std::string>& headers,
                         const std::string& body = {});
/// Text of a response with a body of known length.
std::string response_text(int status, const std::map<std::string, std::string>& headers,
                          const std::string& body = {});

/// Sends one request over a new connection and returns the response; its status is 0 without one.
http_message exchange(const endpoint& remote, const std::string& request, milliseconds timeout);

/// What a server sends for a request. An empty text closes the connection without a response.
struct reply {
  reply(std::string response) : text(std::move(response)) {}
  std::string text;
  bool without_end = false;  ///< Bytes follow the text until the caller closes the connection.
};

/// Accepts connections and answers each request on a thread of its connection.
class http_server {
 public:
  using handler = std::function<reply(const http_message&)>;

  http_server(const endpoint& local, handler answer);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  void stop();

 private:
  void accept_connections();
  void serve(const std::shared_ptr<connection>& client);

  handler answer_;
  int listener_ = -1;
  std::mutex mutex_;
  bool stopped_ = false;
  std::set<std::shared_ptr<connection>> open_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

}  // namespace review

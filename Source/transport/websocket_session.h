#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace crocusdoor {

namespace detail {
class websocket_state;
}

/// WebSocket protocol state of one connection, without the socket: it decodes received bytes to
/// messages and encodes messages to bytes. This header is included by C++17 and C++20 sources.
class websocket_session {
 public:
  enum class role { client, server };

  struct handlers {
    std::function<void(const char* data, std::size_t size)> write_bytes;
    std::function<void()> opened;
    std::function<void(const std::string& payload)> message;
    std::function<void(const std::string& reason)> closed;
  };

  /// Messages above `message_limit_bytes` end the session.
  websocket_session(role side, std::size_t message_limit_bytes, handlers callbacks);
  ~websocket_session();
  websocket_session(const websocket_session&) = delete;
  websocket_session& operator=(const websocket_session&) = delete;

  /// Starts the handshake.
  void start();
  /// Processes bytes read from the connection.
  void receive(const char* data, std::size_t size);
  /// Handles the end of the connection.
  void connection_lost();
  /// Sends one binary message. Returns false if the session is not open.
  bool send(const std::string& payload);

 private:
  std::unique_ptr<detail::websocket_state> state_;
};

}  // namespace crocusdoor

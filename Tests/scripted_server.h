#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "transport/tcp_listener.h"

namespace crocusdoor {

/// A server whose responses a test writes as bytes. It passes the input of each read to the handler
/// as one request, so it suits only tests whose requests arrive in one read.
class scripted_server {
 public:
  /// A connection that a client has opened.
  class connection {
   public:
    connection(event_loop& loop, std::intptr_t descriptor, scripted_server& server)
        : server_(server),
          stream_(bufferevent_socket_new(loop.base(), static_cast<evutil_socket_t>(descriptor),
                                         BEV_OPT_CLOSE_ON_FREE)) {
      bufferevent_setcb(stream_, &connection::on_read, nullptr, nullptr, this);
      bufferevent_enable(stream_, EV_READ | EV_WRITE);
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void write(const std::string& bytes) {
      if (stream_ != nullptr) {
        ::send(bufferevent_getfd(stream_), bytes.data(), bytes.size(), MSG_NOSIGNAL);
      }
    }
    void close() {
      if (stream_ != nullptr) {
        bufferevent_free(stream_);
        stream_ = nullptr;
      }
    }
    /// Ends the server's direction of the connection at once, while `close` may wait for the loop.
    void shut_down() { ::shutdown(bufferevent_getfd(stream_), SHUT_WR); }
    /// Closes the connection with a TCP reset.
    void reset() {
      const linger discard{1, 0};
      ::setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
      close();
    }

   private:
    static void on_read(bufferevent* stream, void* context) {
      auto& self = *static_cast<connection*>(context);
      evbuffer* input = bufferevent_get_input(stream);
      std::string request(evbuffer_get_length(input), '\0');
      evbuffer_remove(input, request.data(), request.size());
      self.server_.on_request_(self, request);
    }

    scripted_server& server_;
    bufferevent* stream_;
  };

  using handler = std::function<void(connection&, const std::string& request)>;

  scripted_server(event_loop& loop, std::uint16_t port, handler on_request)
      : on_request_(std::move(on_request)),
        listener_(loop, {"127.0.0.1", port}, [this, &loop](std::intptr_t descriptor) {
          connections_.push_back(std::make_unique<connection>(loop, descriptor, *this));
        }) {}

  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  /// Number of connections accepted so far, closed ones included.
  [[nodiscard]] std::size_t accepted() const { return connections_.size(); }
  /// The connection accepted as number `index`, counted from 0.
  [[nodiscard]] connection& at(std::size_t index) { return *connections_.at(index); }

 private:
  handler on_request_;
  std::vector<std::unique_ptr<connection>> connections_;
  tcp_listener listener_;
};

}  // namespace crocusdoor

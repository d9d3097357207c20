#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "transport/event_loop.h"
#include "transport/ip_endpoint.h"
#include "transport/websocket_session.h"
#include "wire/message_codec.h"

struct bufferevent;

namespace crocusdoor {

/// One connection to another daemon. A link keeps itself alive until its connection has ended and
/// the `closed` handler has been called, which happens exactly once.
class peer_link : public std::enable_shared_from_this<peer_link> {
 public:
  struct handlers {
    std::function<void(peer_link&)> opened;
    std::function<void(peer_link&, wire::envelope)> message;
    std::function<void(peer_link&, const std::string& reason)> closed;
    std::function<leaf::result<wire::envelope>(std::string_view)> decode = &wire::decode;
  };

  /// Maximum size of the output buffer; a send on a link above this limit closes the link, because
  /// its peer does not read.
  static constexpr std::size_t output_limit_bytes = 4'000'000;

  /// Opens a connection to another daemon. It is given up if it is not established within
  /// `timeout`.
  [[nodiscard]] static std::shared_ptr<peer_link> connect(event_loop& loop,
                                                          const ip_endpoint& remote,
                                                          duration timeout, handlers callbacks);
  /// Takes over a connection that a listener accepted.
  [[nodiscard]] static std::shared_ptr<peer_link> accept(event_loop& loop, std::intptr_t descriptor,
                                                         handlers callbacks);

  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  /// Queues a message. Returns false if the link is not open or its output is above the limit; the
  /// message is then never written.
  bool send(const wire::envelope& value);
  /// Queues a message that is already encoded.
  bool send_encoded(const std::string& payload);

  /// Reads and delivers input that is already in the socket without waiting for the loop to process
  /// it. Must not be called from a handler of this link.
  void read_pending();

  /// Ends the connection; the `closed` handler is called in a later iteration of the loop.
  void close(std::string reason);

  [[nodiscard]] bool is_open() const noexcept { return open_; }
  [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return bytes_sent_; }
  /// Bytes that wait in the buffer of the link.
  [[nodiscard]] std::size_t unsent_output() const;
  /// How many of the bytes sent the peer has not acknowledged; after the end of the link, how many
  /// it had not acknowledged then.
  [[nodiscard]] std::uint64_t unacknowledged_bytes() const;
  [[nodiscard]] std::uint64_t bytes_received() const noexcept { return bytes_received_; }
  [[nodiscard]] std::uint64_t refused_messages() const noexcept { return refused_messages_; }

 private:
  peer_link(event_loop& loop, websocket_session::role side, handlers callbacks);

  void attach(bufferevent* connection);
  void connection_ready();
  void read_available();
  void flush_output();
  void deliver(const std::string& payload);
  void finish(const std::string& reason);

  static void on_read(bufferevent* connection, void* context);
  static void on_event(bufferevent* connection, short what, void* context);

  event_loop& loop_;
  websocket_session::role side_;
  handlers callbacks_;
  websocket_session session_;
  bufferevent* connection_ = nullptr;
  std::shared_ptr<peer_link> self_;
  bool open_ = false;
  bool closing_ = false;
  std::string pending_output_;  ///< Bytes that the session has produced since the last write.
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t unacknowledged_at_end_ = 0;
  std::uint64_t bytes_received_ = 0;
  std::uint64_t refused_messages_ = 0;
};

}  // namespace crocusdoor

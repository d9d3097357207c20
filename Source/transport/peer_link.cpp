#include "transport/peer_link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

#include "core/error.h"
#include "transport/loop_time.h"
#include "transport/socket_address.h"
#include "transport/socket_options.h"
#include "transport/socket_state.h"
#include "transport/stream_output.h"

namespace crocusdoor {

namespace {

constexpr std::size_t read_size_bytes = 16'384;
/// Maximum reads in one call, so that a peer that sends continuously does not block the loop.
constexpr int read_count_limit = 64;

}  // namespace

peer_link::peer_link(event_loop& loop, websocket_session::role side, handlers callbacks)
    : loop_(loop),
      side_(side),
      callbacks_(std::move(callbacks)),
      session_(side, wire::message_size_limit_bytes,
               {[this](const char* data, std::size_t size) { pending_output_.append(data, size); },
                [this] {
                  open_ = true;
                  callbacks_.opened(*this);
                },
                [this](const std::string& payload) { deliver(payload); },
                [this](const std::string& reason) { close(reason); }}) {}

peer_link::~peer_link() {
  if (connection_ != nullptr) {
    bufferevent_free(connection_);
  }
}

std::shared_ptr<peer_link> peer_link::connect(event_loop& loop, const ip_endpoint& remote,
                                              duration timeout, handlers callbacks) {
  std::shared_ptr<peer_link> link(
      new peer_link(loop, websocket_session::role::client, std::move(callbacks)));
  link->self_ = link;
  link->attach(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  const auto address = detail::to_socket_address(remote);
  const bool started =
      address.has_value() &&
      bufferevent_socket_connect(link->connection_, reinterpret_cast<const sockaddr*>(&*address),
                                 sizeof(*address)) == 0;
  if (started) {
    const timeval connect_timeout = detail::to_timeval(timeout);
    bufferevent_set_timeouts(link->connection_, nullptr, &connect_timeout);
  } else {
    link->close("cannot connect to " + to_string(remote));
  }
  return link;
}

std::shared_ptr<peer_link> peer_link::accept(event_loop& loop, std::intptr_t descriptor,
                                             handlers callbacks) {
  std::shared_ptr<peer_link> link(
      new peer_link(loop, websocket_session::role::server, std::move(callbacks)));
  link->self_ = link;
  link->attach(
      bufferevent_socket_new(loop.base(), static_cast<int>(descriptor), BEV_OPT_CLOSE_ON_FREE));
  link->connection_ready();
  return link;
}

void peer_link::attach(bufferevent* connection) {
  connection_ = connection;
  bufferevent_setcb(connection_, &peer_link::on_read, nullptr, &peer_link::on_event, this);
}

void peer_link::connection_ready() {
  detail::set_connection_options(bufferevent_getfd(connection_));
  bufferevent_set_timeouts(connection_, nullptr, nullptr);
  bufferevent_enable(connection_, EV_READ | EV_WRITE);
  session_.start();
  flush_output();
}

bool peer_link::send(const wire::envelope& value) {
  return send_encoded(wire::encode(value));
}

bool peer_link::send_encoded(const std::string& payload) {
  if (!open_ || closing_) {
    return false;
  }
  if (evbuffer_get_length(bufferevent_get_output(connection_)) > output_limit_bytes) {
    close("unsent output exceeds the output limit of the link; the peer reads too slowly");
    return false;
  }
  const bool accepted = session_.send(payload);
  flush_output();
  return accepted;
}

/// Writes the bytes that the session has produced. It produces each message in several pieces.
void peer_link::flush_output() {
  if (connection_ != nullptr && !pending_output_.empty()) {
    bytes_sent_ += pending_output_.size();
    detail::write_output(connection_, pending_output_);
  }
  pending_output_.clear();
}

std::size_t peer_link::unsent_output() const {
  return connection_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(connection_));
}

std::uint64_t peer_link::unacknowledged_bytes() const {
  return connection_ == nullptr ? unacknowledged_at_end_
                                : evbuffer_get_length(bufferevent_get_output(connection_)) +
                                      detail::unacknowledged_bytes(bufferevent_getfd(connection_));
}

void peer_link::close(std::string reason) {
  if (closing_) {
    return;
  }
  closing_ = true;
  open_ = false;
  if (connection_ != nullptr) {
    bufferevent_disable(connection_, EV_READ);
  }
  // The connection is freed in a later iteration of the loop, because a callback of libevent or
  // websocketpp may still be using it.
  loop_.post([link = shared_from_this(), reason = std::move(reason)] { link->finish(reason); });
}

void peer_link::finish(const std::string& reason) {
  const std::shared_ptr<peer_link> keep_alive = std::move(self_);
  if (connection_ != nullptr) {
    unacknowledged_at_end_ = unacknowledged_bytes();
    bufferevent_free(connection_);
    connection_ = nullptr;
  }
  callbacks_.closed(*this, reason);
  callbacks_ = {};
}

void peer_link::read_available() {
  const std::shared_ptr<peer_link> keep_alive = shared_from_this();
  evbuffer* input = bufferevent_get_input(connection_);
  while (!closing_ && evbuffer_get_length(input) > 0) {
    const std::size_t size = evbuffer_get_contiguous_space(input);
    const auto* data =
        reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
    bytes_received_ += size;
    session_.receive(data, size);
    flush_output();
    evbuffer_drain(input, size);
  }
}

void peer_link::read_pending() {
  const std::shared_ptr<peer_link> keep_alive = shared_from_this();
  std::array<char, read_size_bytes> bytes{};
  for (int count = 0; open_ && !closing_ && count < read_count_limit; ++count) {
    const ssize_t size =
        ::recv(bufferevent_getfd(connection_), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size < 0) {
      if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        close(evutil_socket_error_to_string(errno));
      }
      return;
    }
    if (size == 0) {
      close("peer closed the connection");
      return;
    }
    bytes_received_ += static_cast<std::uint64_t>(size);
    session_.receive(bytes.data(), static_cast<std::size_t>(size));
    flush_output();
    if (static_cast<std::size_t>(size) < bytes.size()) {
      return;
    }
  }
}

void peer_link::deliver(const std::string& payload) {
  if (closing_) {
    return;
  }
  handle_failure(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(value, callbacks_.decode(payload));
        callbacks_.message(*this, std::move(value));
        return {};
      },
      [&](const failure& error) {
        ++refused_messages_;
        close("refused message: " + error.message);
      });
}

void peer_link::on_read(bufferevent*, void* context) {
  static_cast<peer_link*>(context)->read_available();
}

void peer_link::on_event(bufferevent*, short what, void* context) {
  auto* link = static_cast<peer_link*>(context);
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    link->connection_ready();
  } else if ((what & BEV_EVENT_TIMEOUT) != 0) {
    link->close("connection to the peer was not established within the connect timeout");
  } else if ((what & BEV_EVENT_EOF) != 0) {
    link->close("peer closed the connection");
  } else if ((what & BEV_EVENT_ERROR) != 0) {
    const std::string reason = evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR());
    // A write to a peer that has ended fails while its last messages are still in the socket.
    link->read_pending();
    link->close(reason);
  }
}

}  // namespace crocusdoor

#include "transport/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "transport/socket_options.h"
#include "transport/socket_state.h"
#include "transport/stream_input.h"
#include "transport/stream_output.h"
#include "transport/tcp_listener.h"

namespace crocusdoor {

namespace {

/// How often the timeouts of connections are checked.
constexpr duration sweep_interval = std::chrono::milliseconds(200);
/// How long a connection that the server ends stays open for the client to read the last answer.
/// Closing it with unread bytes would reset it and could destroy the answer on its way.
constexpr duration linger_time = std::chrono::seconds(1);
/// Unread input of one connection while its request is answered; pipelined requests wait here.
constexpr std::size_t input_limit_bytes = 65'536;
/// Idle connections are closed above this number, before descriptors run out.
constexpr std::size_t connection_limit = 2'000;

/// A client sends the first request of a new connection within this time.
constexpr duration first_request_time = std::chrono::milliseconds(300);

constexpr int status_request_timeout = 408;

}  // namespace

namespace detail {

struct http_server_state : std::enable_shared_from_this<http_server_state> {
  using connection_pointer = std::shared_ptr<http_server_connection>;

  event_loop& loop;
  http_server::handler on_request;
  http_server_limits limits;
  bool closing = false;
  std::set<connection_pointer> connections;
  std::unique_ptr<tcp_listener> listener;
  timer_handle sweep_timer;

  http_server_state(event_loop& owner, http_server::handler handler, http_server_limits allowed)
      : loop(owner), on_request(std::move(handler)), limits(allowed) {}
};

/// One connection of a client. The server's set and the exchange in progress keep it alive.
class http_server_connection : public std::enable_shared_from_this<http_server_connection> {
 public:
  http_server_connection(const std::shared_ptr<http_server_state>& server, int descriptor)
      : server_(server),
        reader_(server->limits.size),
        active_at_(server->loop.now()),
        stream_(bufferevent_socket_new(server->loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE)) {
    set_connection_options(descriptor);
    bufferevent_setcb(stream_, &http_server_connection::on_read, &http_server_connection::on_write,
                      &http_server_connection::on_event, this);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
  }

  ~http_server_connection() {
    if (stream_ != nullptr) {
      bufferevent_free(stream_);
    }
  }

  http_server_connection(const http_server_connection&) = delete;
  http_server_connection& operator=(const http_server_connection&) = delete;

  void answer(const http_request& request, const http_response& response) {
    if (stream_ == nullptr || phase_ != phase::answering) {
      return;
    }
    const std::shared_ptr<http_server_state> server = server_.lock();
    const bool keep = keep_alive_ && server != nullptr && !server->closing &&
                      !has_token(header_value(response.headers, "Connection"), "close");
    write(write_response(response, request.method, keep));
    exchange_.reset();
    if (keep) {
      begin_request();
      post_read();
    } else {
      finish_writing();
    }
  }

  void close() {
    if (stream_ == nullptr) {
      return;
    }
    phase_ = phase::closed;
    bufferevent_free(stream_);
    stream_ = nullptr;
    if (const auto server = server_.lock()) {
      // The set may hold the last reference, and the caller is a member of this object.
      server->loop.post([self = shared_from_this(), server] { server->connections.erase(self); });
    }
  }

  [[nodiscard]] bool client_has_left() const {
    return stream_ == nullptr || peer_has_closed(bufferevent_getfd(stream_));
  }

  /// Applies the timeouts of the client's side.
  void check_timeouts(const http_server_limits& limits, time_point now) {
    const duration quiet = now - active_at_;
    switch (phase_) {
      case phase::idle:
        if (quiet >= limits.idle_timeout) {
          close();
        }
        break;
      case phase::reading:
        check_reading(limits, now);
        break;
      case phase::lingering:
        if (quiet >= linger_time) {
          close();
        }
        break;
      case phase::answering:
        if (pending_input() >= input_limit_bytes && client_has_left()) {
          // Nothing more is read from this connection, so that its end would not be seen.
          client_closed();
        }
        break;
      case phase::closed:
        break;
    }
  }

  [[nodiscard]] bool is_idle() const {
    return phase_ == phase::idle && !is_new() && !has_unread_bytes();
  }
  [[nodiscard]] bool is_active() const {
    return phase_ == phase::reading || phase_ == phase::answering ||
           (phase_ == phase::idle && !is_idle());
  }

 private:
  enum class phase { idle, reading, answering, lingering, closed };

  /// Whether the first request of the connection is still due.
  [[nodiscard]] bool is_new() const { return !served_ && now() - active_at_ < first_request_time; }

  [[nodiscard]] bool has_unread_bytes() const {
    char first = 0;
    return stream_ != nullptr && (pending_input() > 0 || recv(bufferevent_getfd(stream_), &first, 1,
                                                              MSG_PEEK | MSG_DONTWAIT) > 0);
  }

  void begin_request() {
    phase_ = phase::idle;
    served_ = true;
    active_at_ = now();
    continue_sent_ = false;
    if (const auto server = server_.lock()) {
      reader_ = http_request_reader(server->limits.size);
    }
  }

  [[nodiscard]] time_point now() const {
    const auto server = server_.lock();
    return server == nullptr ? active_at_ : server->loop.now();
  }

  void check_reading(const http_server_limits& limits, time_point now) {
    const bool late_headers = !reader_.in_body() && now - begun_at_ >= limits.header_timeout;
    const bool late_body = reader_.in_body() && now - active_at_ >= limits.idle_timeout;
    if (late_headers || late_body) {
      refuse(status_request_timeout);
    }
  }

  void write(const std::string& bytes) { write_output(stream_, bytes); }

  /// Ends the connection once the output has left.
  void finish_writing() {
    phase_ = phase::lingering;
    active_at_ = now();
    if (evbuffer_get_length(bufferevent_get_output(stream_)) == 0) {
      ::shutdown(bufferevent_getfd(stream_), SHUT_WR);
    }
  }

  void refuse(int status) {
    write(write_response({status, {}, ""}, "GET", false));
    finish_writing();
  }

  /// Reads a pipelined request in a later turn of the loop, so that a long series of them does not
  /// nest.
  void post_read() {
    const auto server = server_.lock();
    if (server != nullptr && (!input_.empty() || pending_input() > 0)) {
      server->loop.post([self = shared_from_this()] { self->read_available(); });
    }
  }

  [[nodiscard]] std::size_t pending_input() const {
    return evbuffer_get_length(bufferevent_get_input(stream_));
  }

  void read_available() {
    if (stream_ == nullptr) {
      return;
    }
    if (phase_ == phase::lingering) {
      evbuffer_drain(bufferevent_get_input(stream_), pending_input());
      return;
    }
    if (phase_ == phase::answering) {
      // Reading on notices a client that leaves; the bytes wait for their turn.
      bufferevent_setwatermark(stream_, EV_READ, 0, input_limit_bytes);
      return;
    }
    bufferevent_setwatermark(stream_, EV_READ, 0, 0);
    append_input(stream_, input_);
    read_request();
  }

  void read_request() {
    if (input_.empty() && phase_ == phase::idle) {
      return;
    }
    active_at_ = now();
    if (phase_ == phase::idle) {
      phase_ = phase::reading;
      begun_at_ = active_at_;
    }
    const read_progress progress = reader_.read(input_);
    if (progress == read_progress::refused) {
      refuse(reader_.refusal_status());
    } else if (progress == read_progress::complete) {
      hand_over();
    } else if (reader_.in_body() && reader_.expects_continue() && !continue_sent_) {
      continue_sent_ = true;
      write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void hand_over() {
    const auto server = server_.lock();
    if (server == nullptr) {
      close();
      return;
    }
    phase_ = phase::answering;
    keep_alive_ = reader_.keep_alive();
    const auto exchange = std::make_shared<http_exchange>(shared_from_this(), reader_.take());
    exchange_ = exchange;
    server->on_request(exchange);
  }

  void client_closed() {
    const std::shared_ptr<http_exchange> waiting = exchange_.lock();
    close();
    if (waiting != nullptr) {
      waiting->client_gone();
    }
  }

  static void on_read(bufferevent*, void* context) {
    const auto self = static_cast<http_server_connection*>(context)->shared_from_this();
    self->read_available();
  }

  static void on_write(bufferevent* stream, void* context) {
    if (static_cast<http_server_connection*>(context)->phase_ == phase::lingering) {
      ::shutdown(bufferevent_getfd(stream), SHUT_WR);
    }
  }

  static void on_event(bufferevent*, short what, void* context) {
    const auto self = static_cast<http_server_connection*>(context)->shared_from_this();
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      self->client_closed();
    }
  }

  std::weak_ptr<http_server_state> server_;
  http_request_reader reader_;
  std::weak_ptr<http_exchange> exchange_;
  std::string input_;
  phase phase_ = phase::idle;
  bool keep_alive_ = true;
  bool continue_sent_ = false;
  bool served_ = false;  ///< A request of this connection has been answered.
  time_point begun_at_{};
  time_point active_at_{};
  bufferevent* stream_;
};

}  // namespace detail

http_exchange::http_exchange(std::shared_ptr<detail::http_server_connection> connection,
                             http_request received)
    : connection_(std::move(connection)), request_(std::move(received)) {}

http_exchange::~http_exchange() {
  if (!answered_ && !disconnected_) {
    respond({500, {}, "no answer was produced\n"});
  }
}

bool http_exchange::check_connection() {
  if (!answered_ && !disconnected_ && connection_->client_has_left()) {
    client_gone();
  }
  return !disconnected_;
}

void http_exchange::respond(const http_response& answer) {
  if (answered_ || disconnected_) {
    return;
  }
  answered_ = true;
  disconnect_action_ = nullptr;
  connection_->answer(request_, answer);
}

void http_exchange::close() {
  if (answered_ || disconnected_) {
    return;
  }
  answered_ = true;
  disconnect_action_ = nullptr;
  connection_->close();
}

void http_exchange::client_gone() {
  if (answered_ || disconnected_) {
    return;
  }
  disconnected_ = true;
  const std::function<void()> action = std::move(disconnect_action_);
  if (action) {
    action();
  }
}

http_server::http_server(event_loop& loop, const ip_endpoint& local, handler on_request,
                         http_server_limits limits)
    : state_(std::make_shared<detail::http_server_state>(loop, std::move(on_request), limits)) {
  state_->listener =
      std::make_unique<tcp_listener>(loop, local, [state = state_.get()](std::intptr_t accepted) {
        state->connections.insert(std::make_shared<detail::http_server_connection>(
            state->weak_from_this().lock(), static_cast<int>(accepted)));
      });
  state_->sweep_timer = loop.every(sweep_interval, [state = state_.get()] {
    const time_point now = state->loop.now();
    for (const auto& connection : state->connections) {
      connection->check_timeouts(state->limits, now);
      if (state->connections.size() > connection_limit && connection->is_idle()) {
        connection->close();
      }
    }
  });
}

http_server::~http_server() {
  // Connections that close in the next turn of the loop keep the state until then.
  state_->listener = nullptr;
  state_->sweep_timer = nullptr;
  const auto connections = state_->connections;
  for (const auto& connection : connections) {
    connection->close();
  }
  state_->connections.clear();
}

void http_server::set_limits(const http_server_limits& limits) {
  state_->limits = limits;
}

void http_server::announce_close() {
  state_->closing = true;
}

void http_server::stop_accepting() {
  if (state_->listener != nullptr) {
    state_->listener->accept_waiting();
  }
  state_->listener = nullptr;
}

void http_server::close_idle() {
  for (const auto& connection : state_->connections) {
    if (connection->is_idle()) {
      connection->close();
    }
  }
}

std::size_t http_server::active() const {
  std::size_t count = 0;
  for (const auto& connection : state_->connections) {
    count += connection->is_active() ? 1 : 0;
  }
  return count;
}

std::uint16_t http_server::port() const noexcept {
  return state_->listener->port();
}

}  // namespace crocusdoor

#include "transport/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "transport/acknowledgement_watch.h"
#include "transport/socket_options.h"
#include "transport/socket_state.h"
#include "transport/stream_input.h"
#include "transport/stream_output.h"
#include "transport/tcp_listener.h"

namespace crocusdoor {

namespace {

/// How often the timeouts of connections are checked.
constexpr duration timeout_check_interval = std::chrono::milliseconds(200);
/// How long a connection that the server ends stays open after its last response or, if the client
/// had not acknowledged it by then, after the acknowledgement. Closing a socket with unread input
/// resets the connection, and the client could lose a response that it has not read.
constexpr duration linger_time = std::chrono::seconds(1);
/// Maximum input of one connection that waits to be handled; it holds pipelined requests.
constexpr std::size_t input_limit_bytes = 65'536;
/// No further request of a connection is read while more output than this is unsent.
constexpr std::size_t unsent_limit_bytes = 65'536;
/// Above this many unsent bytes of all connections, those whose clients have read nothing for
/// longest are closed, so that the memory of the process is bounded.
constexpr std::size_t total_unsent_limit_bytes = 16'000'000;
/// A response that is not acknowledged this long after it was sent is checked for progress.
constexpr duration delivery_check_delay = std::chrono::seconds(1);
/// Above this number of connections idle ones, and those whose clients do not read, are closed, so
/// that file descriptors do not run out.
constexpr std::size_t connection_limit = 2'000;
/// A client that has read nothing for this long counts as not reading above the limit.
constexpr duration stalled_time = std::chrono::seconds(5);

/// A new connection counts as active for this long while its first request has not arrived.
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
  timer_handle timeout_check_timer;

  http_server_state(event_loop& owner, http_server::handler handler,
                    http_server_limits server_limits)
      : loop(owner), on_request(std::move(handler)), limits(server_limits) {}

  void check_connections();
  void close_excess_connections(time_point now);
  void limit_unsent_output();
};

/// One connection of a client. The server's set of connections and the exchange in progress keep it
/// alive.
class http_server_connection : public std::enable_shared_from_this<http_server_connection> {
 public:
  using undelivered_action = std::function<void(const undelivered_response&)>;

  http_server_connection(const std::shared_ptr<http_server_state>& server, int descriptor)
      : server_(server),
        reader_(server->limits.size),
        last_active_at_(server->loop.now()),
        stream_(bufferevent_socket_new(server->loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE)) {
    set_connection_options(descriptor);
    bufferevent_setcb(stream_, &http_server_connection::on_read, &http_server_connection::on_write,
                      &http_server_connection::on_event, this);
    bufferevent_setwatermark(stream_, EV_READ, 0, input_limit_bytes);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
  }

  ~http_server_connection() {
    if (stream_ != nullptr) {
      bufferevent_free(stream_);
    }
  }

  http_server_connection(const http_server_connection&) = delete;
  http_server_connection& operator=(const http_server_connection&) = delete;

  void send_response(const http_request& request, const http_response& response,
                     undelivered_action on_undelivered) {
    if (stream_ == nullptr || phase_ != phase::answering) {
      return;
    }
    undelivered_action_ = std::move(on_undelivered);
    const std::shared_ptr<http_server_state> server = server_.lock();
    const bool keep_open = keep_alive_ && server != nullptr && !server->closing &&
                           !has_token(header_value(response.headers, "Connection"), "close");
    write(write_response(response, request.method, keep_open));
    exchange_.reset();
    if (keep_open) {
      begin_request();
      post_read();
    } else {
      finish_writing();
    }
    if (server != nullptr && unsent_output() > 0) {
      server->limit_unsent_output();
    }
  }

  void close(delivery_failure cause = delivery_failure::closed_by_server) {
    if (stream_ == nullptr) {
      return;
    }
    report_undelivered(cause);
    phase_ = phase::closed;
    bufferevent_free(stream_);
    stream_ = nullptr;
    if (const auto server = server_.lock()) {
      // Erased in a later iteration of the loop: the set may hold the last reference, and a member
      // function of this object is running.
      server->loop.post([self = shared_from_this(), server] { server->connections.erase(self); });
    }
  }

  [[nodiscard]] bool client_has_closed() const {
    return stream_ == nullptr || peer_has_closed(bufferevent_getfd(stream_));
  }

  /// Closes or refuses the connection if a timeout has passed.
  void check_timeouts(const http_server_limits& limits, time_point now) {
    switch (phase_) {
      case phase::idle:
        check_unused(limits.idle_timeout, limits, now);
        break;
      case phase::reading:
        check_reading(limits, now);
        break;
      case phase::lingering:
        check_unused(linger_time, limits, now);
        break;
      case phase::answering:
        if (pending_input() >= input_limit_bytes && client_has_closed()) {
          // Reading has stopped at the limit, so the loop would not report that the client closed.
          client_closed(delivery_failure::closed_by_client);
        }
        break;
      case phase::closed:
        break;
    }
  }

  [[nodiscard]] bool is_idle() {
    return phase_ == phase::idle && !is_new() && !has_unread_bytes() && is_delivered();
  }
  [[nodiscard]] bool is_active() {
    return phase_ == phase::reading || phase_ == phase::answering ||
           (phase_ == phase::idle && !is_idle()) || (phase_ == phase::lingering && !is_delivered());
  }
  /// Whether the client has not read the last response and has taken nothing of it for a while.
  [[nodiscard]] bool is_stalled(time_point now) {
    const bool unused = phase_ == phase::idle || phase_ == phase::lingering;
    return unused && !is_delivered() && now - last_active_at_ >= stalled_time;
  }
  [[nodiscard]] bool is_answering() const noexcept { return phase_ == phase::answering; }
  [[nodiscard]] time_point last_active_at() const noexcept { return last_active_at_; }
  [[nodiscard]] std::size_t unsent_output() const {
    return stream_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(stream_));
  }

  /// Bytes of responses that the client has not acknowledged.
  [[nodiscard]] std::size_t undelivered_bytes() const {
    if (stream_ == nullptr) {
      return 0;
    }
    const std::size_t written = unacknowledged_bytes(bufferevent_getfd(stream_));
    // The end of the sending side follows the last byte of the last response.
    const std::size_t end = sending_ended_ && written > 0 ? 1 : 0;
    return unsent_output() + written - end;
  }

 private:
  enum class phase { idle, reading, answering, lingering, closed };

  /// Whether the connection is new and still has time to send its first request.
  [[nodiscard]] bool is_new() const {
    return !served_ && now() - last_active_at_ < first_request_time;
  }

  [[nodiscard]] bool has_unread_bytes() const {
    char byte = 0;
    return stream_ != nullptr && (pending_input() > 0 || recv(bufferevent_getfd(stream_), &byte, 1,
                                                              MSG_PEEK | MSG_DONTWAIT) > 0);
  }

  void begin_request() {
    phase_ = phase::idle;
    served_ = true;
    last_active_at_ = now();
    continue_sent_ = false;
    if (const auto server = server_.lock()) {
      reader_ = http_request_reader(server->limits.size);
    }
  }

  [[nodiscard]] time_point now() const {
    const auto server = server_.lock();
    return server == nullptr ? last_active_at_ : server->loop.now();
  }

  /// Whether the client has acknowledged all responses, or will not because the connection has
  /// failed. Notes when it has taken a part of them.
  bool is_delivered() {
    if (!delivering_ || has_failed()) {
      return true;
    }
    const std::size_t remaining = undelivered_bytes();
    const bool first_check = remaining_bytes_ == 0;
    if (remaining < remaining_bytes_ || (first_check && remaining > 0)) {
      last_active_at_ = now();
    }
    remaining_bytes_ = remaining;
    delivering_ = remaining > 0;
    return !delivering_;
  }

  /// The loop reports no reset after the client has ended its sending side.
  [[nodiscard]] bool has_failed() const {
    return stream_ == nullptr || connection_has_failed(bufferevent_getfd(stream_));
  }

  /// Closes a connection without a request `unused_limit` after its last response was delivered, or
  /// earlier if the client takes nothing of that response.
  void check_unused(duration unused_limit, const http_server_limits& limits, time_point now) {
    if (now - last_active_at_ < std::min(unused_limit, delivery_check_delay)) {
      return;
    }
    if (delivering_ && has_failed()) {
      client_closed(delivery_failure::connection_failed);
      return;
    }
    const bool delivered = is_delivered();
    if (!delivered && acknowledgements_.is_silent(bufferevent_getfd(stream_), now)) {
      close(delivery_failure::client_silent);
    } else if (!delivered && now - last_active_at_ >= limits.idle_timeout) {
      close(delivery_failure::client_stalled);
    } else if (delivered && now - last_active_at_ >= unused_limit) {
      close();
    }
  }

  void check_reading(const http_server_limits& limits, time_point now) {
    const bool headers_timed_out =
        !reader_.in_body() && now - request_started_at_ >= limits.header_timeout;
    const bool body_timed_out = reader_.in_body() && now - last_active_at_ >= limits.idle_timeout;
    if (headers_timed_out || body_timed_out) {
      refuse(status_request_timeout);
    }
  }

  void write(const std::string& bytes) {
    write_output(stream_, bytes);
    delivering_ = true;
    remaining_bytes_ = 0;
  }

  /// Shuts down the sending side once the output is written; the connection then lingers.
  void finish_writing() {
    phase_ = phase::lingering;
    last_active_at_ = now();
    input_ = std::string();
    reader_ = http_request_reader(http_size_limits{});
    if (unsent_output() == 0) {
      end_sending();
    }
  }

  void end_sending() {
    sending_ended_ = true;
    ::shutdown(bufferevent_getfd(stream_), SHUT_WR);
  }

  void refuse(int status) {
    write(write_response({status, {}, ""}, "GET", false));
    finish_writing();
  }

  /// Reads a pipelined request in a later iteration of the loop, so that many of them do not
  /// recurse deeply.
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
      // libevent keeps reading up to the limit and detects that the client closes; the bytes stay
      // buffered until the response is sent.
      return;
    }
    if (unsent_output() > unsent_limit_bytes) {
      return;
    }
    // More bytes are taken only when those of the requests before have been handled, so that a
    // client that sends faster than it is answered does not fill the memory.
    if (phase_ == phase::idle) {
      read_request();
    }
    if (phase_ == phase::reading || (phase_ == phase::idle && input_.empty())) {
      append_input(stream_, input_);
      read_request();
    }
  }

  /// Handles the next request in `input_`. Leaves the connection in `phase::reading` if its end is
  /// missing.
  void read_request() {
    if (input_.empty()) {
      return;
    }
    last_active_at_ = now();
    if (phase_ == phase::idle) {
      phase_ = phase::reading;
      request_started_at_ = last_active_at_;
    }
    const read_progress progress = reader_.read(input_);
    if (progress == read_progress::refused) {
      refuse(reader_.refusal_status());
    } else if (progress == read_progress::complete) {
      dispatch_request();
    } else if (reader_.in_body() && reader_.expects_continue() && !continue_sent_) {
      continue_sent_ = true;
      write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void dispatch_request() {
    const auto server = server_.lock();
    if (server == nullptr) {
      close();
      return;
    }
    phase_ = phase::answering;
    undelivered_action_ = nullptr;
    keep_alive_ = reader_.keep_alive();
    const auto exchange = std::make_shared<http_exchange>(shared_from_this(), reader_.take());
    exchange_ = exchange;
    server->on_request(exchange);
  }

  void report_undelivered(delivery_failure cause) {
    const undelivered_action action = std::exchange(undelivered_action_, nullptr);
    if (action) {
      const std::size_t bytes = undelivered_bytes();
      if (bytes > 0) {
        action({client_ended_ ? delivery_failure::closed_by_client : cause, bytes});
      }
    }
  }

  /// Handles the end of the client's sending side. A client that has only ended that side still
  /// gets the rest of its response; writing to one that has closed the connection fails.
  void client_ended() {
    client_ended_ = true;
    if (phase_ == phase::answering || is_delivered()) {
      client_closed(delivery_failure::closed_by_client);
    } else if (phase_ != phase::lingering) {
      finish_writing();
    }
  }

  void client_closed(delivery_failure cause) {
    const std::shared_ptr<http_exchange> exchange = exchange_.lock();
    close(cause);
    if (exchange != nullptr) {
      exchange->client_disconnected();
    }
  }

  static void on_read(bufferevent*, void* context) {
    const auto self = static_cast<http_server_connection*>(context)->shared_from_this();
    self->read_available();
  }

  static void on_write(bufferevent*, void* context) {
    const auto self = static_cast<http_server_connection*>(context)->shared_from_this();
    if (self->phase_ == phase::lingering) {
      self->end_sending();
    } else {
      self->post_read();
    }
  }

  static void on_event(bufferevent*, short what, void* context) {
    const auto self = static_cast<http_server_connection*>(context)->shared_from_this();
    if ((what & BEV_EVENT_EOF) != 0) {
      self->client_ended();
    } else if ((what & BEV_EVENT_ERROR) != 0) {
      self->client_closed(delivery_failure::connection_failed);
    }
  }

  std::weak_ptr<http_server_state> server_;
  http_request_reader reader_;
  std::weak_ptr<http_exchange> exchange_;
  std::string input_;
  phase phase_ = phase::idle;
  bool keep_alive_ = true;
  bool continue_sent_ = false;
  bool served_ = false;  ///< Whether a request of this connection has been answered.
  bool sending_ended_ = false;
  bool client_ended_ = false;        ///< Whether the client has ended its sending side.
  bool delivering_ = false;          ///< Whether the last response may not be acknowledged yet.
  std::size_t remaining_bytes_ = 0;  ///< Unacknowledged at the last check; 0 before the first one.
  acknowledgement_watch acknowledgements_;
  undelivered_action undelivered_action_;  ///< Of the last response.
  time_point request_started_at_{};
  time_point last_active_at_{};
  bufferevent* stream_;
};

void http_server_state::check_connections() {
  const time_point now = loop.now();
  for (const auto& connection : connections) {
    connection->check_timeouts(limits, now);
  }
  if (connections.size() > connection_limit) {
    close_excess_connections(now);
  }
}

namespace {

/// Orders connections by the time since their clients have read something, longest first.
bool longer_inactive(const http_server_state::connection_pointer& left,
                     const http_server_state::connection_pointer& right) {
  return left->last_active_at() < right->last_active_at();
}

}  // namespace

/// Closes connections above the limit: idle ones, then those whose clients do not read.
void http_server_state::close_excess_connections(time_point now) {
  std::size_t excess = connections.size() - connection_limit;
  std::vector<connection_pointer> stalled;
  for (const connection_pointer& connection : connections) {
    if (excess > 0 && connection->is_idle()) {
      connection->close();
      --excess;
    } else if (connection->is_stalled(now)) {
      stalled.push_back(connection);
    }
  }
  std::sort(stalled.begin(), stalled.end(), longer_inactive);
  stalled.resize(std::min(excess, stalled.size()));
  for (const connection_pointer& connection : stalled) {
    connection->close(delivery_failure::output_limit);
  }
}

void http_server_state::limit_unsent_output() {
  std::vector<connection_pointer> unsent;
  std::size_t bytes = 0;
  for (const connection_pointer& connection : connections) {
    if (connection->unsent_output() > 0) {
      // The client of one that is being answered waits for the next response; its output is small.
      if (!connection->is_answering()) {
        unsent.push_back(connection);
      }
      bytes += connection->unsent_output();
    }
  }
  std::sort(unsent.begin(), unsent.end(), longer_inactive);
  for (std::size_t i = 0; i < unsent.size() && bytes > total_unsent_limit_bytes; ++i) {
    bytes -= unsent[i]->unsent_output();
    unsent[i]->close(delivery_failure::output_limit);
  }
}

}  // namespace detail

http_exchange::http_exchange(std::shared_ptr<detail::http_server_connection> connection,
                             http_request received_request)
    : connection_(std::move(connection)), request_(std::move(received_request)) {}

http_exchange::~http_exchange() {
  if (!responded_ && !disconnected_) {
    respond({500, {}, "no answer was produced\n"});
  }
}

bool http_exchange::check_connection() {
  if (!responded_ && !disconnected_ && connection_->client_has_closed()) {
    client_disconnected();
  }
  return !disconnected_;
}

void http_exchange::respond(const http_response& response) {
  if (responded_ || disconnected_) {
    return;
  }
  responded_ = true;
  disconnect_action_ = nullptr;
  connection_->send_response(request_, response, std::move(undelivered_action_));
}

void http_exchange::close() {
  if (responded_ || disconnected_) {
    return;
  }
  responded_ = true;
  disconnect_action_ = nullptr;
  connection_->close();
}

void http_exchange::client_disconnected() {
  if (responded_ || disconnected_) {
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
  state_->timeout_check_timer =
      loop.every(timeout_check_interval, [state = state_.get()] { state->check_connections(); });
}

http_server::~http_server() {
  // Connections that are erased in the next iteration of the loop keep the state alive until then.
  state_->listener = nullptr;
  state_->timeout_check_timer = nullptr;
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
    state_->listener->accept_pending();
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

unsent_responses http_server::unsent() const {
  unsent_responses result;
  for (const auto& connection : state_->connections) {
    const std::size_t bytes = connection->undelivered_bytes();
    result.connections += bytes > 0 ? 1 : 0;
    result.bytes += bytes;
  }
  return result;
}

std::uint16_t http_server::port() const noexcept {
  return state_->listener->port();
}

}  // namespace crocusdoor

#include "transport/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "transport/acknowledgement_watch.h"
#include "transport/loop_time.h"
#include "transport/socket_address.h"
#include "transport/socket_options.h"
#include "transport/stream_input.h"
#include "transport/stream_output.h"

namespace crocusdoor {

namespace {

/// An idle connection is not reused from this margin before its idle limit on, so that no request
/// is sent while the server closes the connection.
constexpr duration idle_margin = std::chrono::milliseconds(500);

constexpr std::size_t read_size_bytes = 16'384;

/// How often a connection is checked for a server that acknowledges nothing.
constexpr duration silence_check_interval = std::chrono::seconds(1);

/// Maximum number of responses to other requests that a connection skips before it is closed.
constexpr int skipped_responses_limit = 16;

/// Time for which the server keeps an idle connection, from its `Keep-Alive` header.
std::optional<duration> stated_idle_limit(const http_headers& headers) {
  constexpr std::string_view key = "timeout=";
  const std::string& value = header_value(headers, "Keep-Alive");
  const std::size_t found = value.find(key);
  if (found == std::string::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const char* begin = value.data() + found + key.size();
  const auto [end, error] = std::from_chars(begin, value.data() + value.size(), seconds);
  if (error != std::errc() || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

response_match match_by_id(const std::string& repeated_id, const std::string& id,
                           bool new_connection) {
  if (repeated_id == id && !id.empty()) {
    return response_match::matched;
  }
  if (repeated_id.empty()) {
    return new_connection ? response_match::matched_close : response_match::unknown;
  }
  return repeated_id.find(',') == std::string::npos ? response_match::other_request
                                                    : response_match::unknown;
}

namespace detail {

struct http_client_call {
  http_request request;
  http_client::callback done;
  response_filter filter;
  std::optional<request_body_stream> body;
  bool body_complete = true;  ///< Whether the whole body has been passed on.
  timer_handle timeout;
  timer_handle silence_check;  ///< Only of a call with a long timeout.
  std::weak_ptr<class http_client_connection> connection;
  bool finished = false;
};

using call_pointer = std::shared_ptr<http_client_call>;
using connection_pointer = std::shared_ptr<class http_client_connection>;

namespace {

/// States in the headers of a request how the end of its body is recognised.
void set_body_framing(http_request& request, const request_body_stream& body) {
  if (body.bytes.has_value()) {
    request.headers["Content-Length"] = std::to_string(*body.bytes);
  } else {
    request.headers["Transfer-Encoding"] = "chunked";
  }
}

/// A part of a body as a chunk, with the last chunk if it is the last part.
std::string write_chunk(const std::string& bytes, bool last) {
  std::string chunk;
  if (!bytes.empty()) {
    constexpr int hexadecimal = 16;
    std::array<char, 16> length{};
    char* const end =
        std::to_chars(length.data(), length.data() + length.size(), bytes.size(), hexadecimal).ptr;
    chunk.append(length.begin(), end).append("\r\n").append(bytes).append("\r\n");
  }
  return last ? chunk.append("0\r\n\r\n") : chunk;
}

}  // namespace

struct http_client_state : std::enable_shared_from_this<http_client_state> {
  event_loop& loop;
  ip_endpoint remote;
  http_client_options options;
  std::vector<connection_pointer> connections;
  std::deque<call_pointer> queued_calls;
  std::uint64_t opened = 0;

  http_client_state(event_loop& owner, ip_endpoint endpoint, http_client_options client_options)
      : loop(owner), remote(std::move(endpoint)), options(client_options) {}

  void start_queued_calls();
  connection_pointer acquire_connection();
  void finish(const call_pointer& call, const http_result& result);
  bool abandon(const call_pointer& call);
  void check_silence(const call_pointer& call);
  void time_out(const call_pointer& call);
  void drop(const connection_pointer& connection);
};

/// One connection to the server. The client's list keeps it alive.
class http_client_connection : public std::enable_shared_from_this<http_client_connection> {
 public:
  explicit http_client_connection(http_client_state& client)
      : client_(client.weak_from_this()),
        idle_limit_(client.options.idle_limit),
        stream_(bufferevent_socket_new(client.loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(stream_, &http_client_connection::on_read, &http_client_connection::on_write,
                      &http_client_connection::on_event, this);
  }

  ~http_client_connection() { bufferevent_free(stream_); }

  http_client_connection(const http_client_connection&) = delete;
  http_client_connection& operator=(const http_client_connection&) = delete;

  void connect(const ip_endpoint& remote, duration timeout) {
    const auto address = to_socket_address(remote);
    const timeval limit = to_timeval(timeout);
    bufferevent_set_timeouts(stream_, nullptr, &limit);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
    const bool started =
        address.has_value() &&
        bufferevent_socket_connect(stream_, reinterpret_cast<const sockaddr*>(&*address),
                                   sizeof(*address)) == 0;
    if (!started) {
      post_failure();
    }
  }

  /// Assigns a request to the connection. It is sent when the connection is established.
  void assign(const call_pointer& call) {
    call_ = call;
    call->connection = weak_from_this();
    reader_.emplace(call->request.method, size_limits());
    if (established_at_.has_value()) {
      write_call();
    }
  }

  /// Abandons the request in progress and marks the connection unusable. libevent may still report
  /// the connection as established before it is destroyed; the request must not be sent then.
  void abandon() {
    call_ = nullptr;
    unusable_ = true;
    stop();
  }

  /// Ends the request if the server has acknowledged nothing for a while.
  void check_silence(time_point now) {
    if (request_written_ && acknowledgements_.is_silent(bufferevent_getfd(stream_), now)) {
      end(http_outcome::interrupted);
    }
  }

  void write_body(const std::string& bytes, bool last) {
    call_->body_complete = last;
    part_wanted_ = false;
    if (call_->body->bytes.has_value()) {
      write_output(stream_, bytes);
    } else {
      write_output(stream_, write_chunk(bytes, last));
    }
    want_part();
  }

  [[nodiscard]] bool busy() const noexcept { return call_ != nullptr; }
  [[nodiscard]] bool written() const noexcept { return request_written_; }
  [[nodiscard]] const call_pointer& call() const noexcept { return call_; }

  /// Whether an idle connection can be used for another request: the server has neither closed it
  /// nor sent unsolicited bytes, and is not about to close it.
  [[nodiscard]] bool reusable(time_point now) const {
    return established_at_.has_value() && !unusable_ &&
           now - idle_since_ < idle_limit_ - idle_margin && open_and_read();
  }

  /// When the connection was established; empty if it is not established or no longer open.
  [[nodiscard]] std::optional<time_point> open_since() const {
    const bool open = established_at_.has_value() && (busy() || open_and_read());
    return open ? established_at_ : std::nullopt;
  }

 private:
  /// Whether the server has not closed the connection and all its bytes have been read. Only for a
  /// connection without a request: the check takes a pending reset from the socket, and the end of
  /// a response without a length would look orderly.
  [[nodiscard]] bool open_and_read() const {
    char byte = 0;
    const ssize_t received =
        ::recv(bufferevent_getfd(stream_), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  [[nodiscard]] http_size_limits size_limits() const {
    const auto client = client_.lock();
    return client == nullptr ? http_size_limits{} : client->options.size;
  }

  void write_call() {
    const auto client = client_.lock();
    if (client == nullptr) {
      return;
    }
    const std::string bytes = write_request(call_->request, to_string(client->remote));
    request_written_ = true;
    write_output(stream_, bytes);
    want_part();
  }

  /// Asks for the next part of the body once all before it has been written to the socket.
  void want_part() {
    const auto client = client_.lock();
    const bool written = evbuffer_get_length(bufferevent_get_output(stream_)) == 0;
    if (client == nullptr || call_ == nullptr || call_->body_complete || !request_written_ ||
        part_wanted_ || !written) {
      return;
    }
    part_wanted_ = true;
    client->loop.post([call = call_] {
      if (!call->finished) {
        call->body->part_wanted();
      }
    });
  }

  void connected() {
    if (const auto client = client_.lock()) {
      established_at_ = client->loop.now();
    }
    set_connection_options(bufferevent_getfd(stream_));
    bufferevent_set_timeouts(stream_, nullptr, nullptr);
    if (call_ != nullptr) {
      write_call();
    }
  }

  void read_available() {
    append_input(stream_, input_);
    if (call_ == nullptr) {
      // No request is in progress, so the bytes are unsolicited.
      end(http_outcome::garbled);
      return;
    }
    read_responses();
  }

  /// Handles the responses in `input_`.
  void read_responses() {
    while (!input_.empty()) {
      const read_progress progress = reader_->read(input_);
      if (progress == read_progress::refused) {
        end(http_outcome::garbled);
        return;
      }
      if (progress == read_progress::incomplete) {
        return;
      }
      if (handle_response()) {
        return;
      }
    }
  }

  /// Handles a complete response. Returns false if it belongs to another request and reading
  /// continues.
  bool handle_response() {
    const bool keep_alive = reader_->keep_alive();
    http_response response = reader_->take();
    const response_match match = match_of(response);
    if (match == response_match::unknown) {
      end(http_outcome::garbled);
      return true;
    }
    if (match == response_match::other_request) {
      if (++skipped_responses_ > skipped_responses_limit) {
        end(http_outcome::garbled);
        return true;
      }
      reader_.emplace(call_->request.method, size_limits());
      if (!keep_alive) {
        end(http_outcome::interrupted);
      }
      return !keep_alive;
    }
    if (const auto stated = stated_idle_limit(response.headers)) {
      idle_limit_ = *stated;
    }
    const bool request_unsent =
        !call_->body_complete || evbuffer_get_length(bufferevent_get_output(stream_)) > 0;
    unusable_ = unusable_ || !keep_alive || !input_.empty() || skipped_responses_ > 0 ||
                request_unsent || match == response_match::matched_close;
    complete({http_outcome::answered, std::move(response), !reused_, false});
    return true;
  }

  [[nodiscard]] response_match match_of(const http_response& response) const {
    return call_->filter == nullptr ? response_match::matched : call_->filter(response, !reused_);
  }

  void complete(const http_result& result) {
    const call_pointer call = std::move(call_);
    call_ = nullptr;
    const auto client = client_.lock();
    if (client == nullptr) {
      return;
    }
    idle_since_ = client->loop.now();
    reused_ = true;
    request_written_ = false;
    part_wanted_ = false;
    client->finish(call, result);
    if (unusable_) {
      stop();
      client->drop(shared_from_this());
    }
    client->loop.post([client] { client->start_queued_calls(); });
  }

  /// Stops reading and writing and frees the bytes that were read. The server may go on sending
  /// until the connection is destroyed.
  void stop() {
    bufferevent_setcb(stream_, nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(stream_, EV_READ | EV_WRITE);
    evbuffer* received = bufferevent_get_input(stream_);
    evbuffer_drain(received, evbuffer_get_length(received));
    input_ = std::string();
    reader_.reset();
  }

  /// Marks the connection unusable and ends its request, if it has one.
  void end(http_outcome outcome) {
    unusable_ = true;
    stop();
    if (call_ != nullptr) {
      const bool not_connected = !request_written_;
      complete({not_connected ? http_outcome::not_sent : outcome, {}, !reused_, not_connected});
    } else if (const auto client = client_.lock()) {
      client->drop(shared_from_this());
    }
  }

  void post_failure() {
    if (const auto client = client_.lock()) {
      client->loop.post([self = shared_from_this()] { self->end(http_outcome::interrupted); });
    }
  }

  /// Handles a failed connection. A server that has responded without reading the whole request may
  /// have closed it; its response is then still in the socket.
  void connection_failed() {
    unusable_ = true;
    const bool may_have_response = call_ != nullptr && request_written_;
    if (may_have_response) {
      read_socket();
    }
    if (!may_have_response || call_ != nullptr) {
      end(http_outcome::interrupted);
    }
  }

  /// Reads and handles what is in the socket, until the call has ended.
  void read_socket() {
    std::array<char, read_size_bytes> bytes{};
    ssize_t size = 0;
    while (call_ != nullptr && (size = ::recv(bufferevent_getfd(stream_), bytes.data(),
                                              bytes.size(), MSG_DONTWAIT)) > 0) {
      input_.append(bytes.data(), static_cast<std::size_t>(size));
      read_responses();
    }
  }

  /// Handles an orderly close by the server, which also ends a response without a length.
  void closed_by_server() {
    if (call_ != nullptr && reader_->begun() && reader_->read_end() == read_progress::complete) {
      unusable_ = true;
      http_response response = reader_->take();
      const response_match match = match_of(response);
      if (match == response_match::matched || match == response_match::matched_close) {
        complete({http_outcome::answered, std::move(response), !reused_, false});
        return;
      }
    }
    end(http_outcome::interrupted);
  }

  static void on_read(bufferevent*, void* context) {
    const auto self = static_cast<http_client_connection*>(context)->shared_from_this();
    self->read_available();
  }

  static void on_write(bufferevent*, void* context) {
    static_cast<http_client_connection*>(context)->want_part();
  }

  static void on_event(bufferevent*, short what, void* context) {
    const auto self = static_cast<http_client_connection*>(context)->shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      self->connected();
    } else if ((what & BEV_EVENT_EOF) != 0) {
      self->closed_by_server();
    } else if ((what & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
      self->connection_failed();
    }
  }

  std::weak_ptr<http_client_state> client_;
  duration idle_limit_;
  bufferevent* stream_;
  call_pointer call_;
  std::optional<http_response_reader> reader_;
  std::string input_;
  time_point idle_since_{};
  std::optional<time_point> established_at_;
  acknowledgement_watch acknowledgements_;
  bool request_written_ = false;
  bool part_wanted_ = false;  ///< Whether the next part of the body has been asked for.
  bool reused_ = false;
  bool unusable_ = false;
  int skipped_responses_ = 0;
};

void http_client_state::start_queued_calls() {
  while (!queued_calls.empty()) {
    if (queued_calls.front()->finished) {
      queued_calls.pop_front();
      continue;
    }
    const connection_pointer connection = acquire_connection();
    if (connection == nullptr) {
      return;
    }
    const call_pointer call = queued_calls.front();
    queued_calls.pop_front();
    connection->assign(call);
  }
}

/// Returns the most recently added idle connection, a new one, or null if the limit is reached.
connection_pointer http_client_state::acquire_connection() {
  const time_point now = loop.now();
  for (std::size_t i = connections.size(); i > 0; --i) {
    connection_pointer candidate = connections[i - 1];
    if (candidate->busy()) {
      continue;
    }
    if (candidate->reusable(now)) {
      return candidate;
    }
    std::erase(connections, candidate);
  }
  if (connections.size() >= options.connection_limit) {
    return nullptr;
  }
  auto connection = std::make_shared<http_client_connection>(*this);
  connections.push_back(connection);
  ++opened;
  connection->connect(remote, options.connect_timeout);
  return connection;
}

/// Removes a connection. It is destroyed in a later iteration of the loop, because this may be
/// called from its own callback.
void http_client_state::drop(const connection_pointer& connection) {
  std::erase(connections, connection);
  loop.post([connection] {});
}

void http_client_state::finish(const call_pointer& call, const http_result& result) {
  if (call->finished) {
    return;
  }
  call->finished = true;
  call->timeout = nullptr;
  call->silence_check = nullptr;
  loop.post([call, result] {
    const http_client::callback done = std::move(call->done);
    done(result);
  });
}

/// Closes the connection of a call, if it has one. Returns whether the request may have been sent.
bool http_client_state::abandon(const call_pointer& call) {
  const connection_pointer connection = call->connection.lock();
  if (connection == nullptr || connection->call() != call) {
    return false;
  }
  const bool written = connection->written();
  connection->abandon();
  drop(connection);
  loop.post([self = shared_from_this()] { self->start_queued_calls(); });
  return written;
}

void http_client_state::check_silence(const call_pointer& call) {
  const connection_pointer connection = call->connection.lock();
  if (connection != nullptr && connection->call() == call) {
    connection->check_silence(loop.now());
  }
}

void http_client_state::time_out(const call_pointer& call) {
  const bool written = abandon(call);
  finish(call, {written ? http_outcome::timed_out : http_outcome::not_sent, {}, false, false});
}

}  // namespace detail

http_client::http_client(event_loop& loop, ip_endpoint remote, http_client_options options)
    : state_(std::make_shared<detail::http_client_state>(loop, std::move(remote), options)) {}

http_client::~http_client() {
  state_->connections.clear();
}

http_call http_client::send(http_request request, duration timeout, callback done,
                            response_filter filter, std::optional<request_body_stream> body) {
  auto call = std::make_shared<detail::http_client_call>();
  call->request = std::move(request);
  if (body.has_value()) {
    detail::set_body_framing(call->request, *body);
    call->body = std::move(body);
    call->body_complete = false;
  }
  call->done = std::move(done);
  call->filter = std::move(filter);
  const auto on_call = [state = std::weak_ptr(state_), weak_call = std::weak_ptr(call)](
                           void (detail::http_client_state::*action)(const detail::call_pointer&)) {
    return [state, weak_call, action] {
      const auto live_state = state.lock();
      const auto live_call = weak_call.lock();
      if (live_state != nullptr && live_call != nullptr) {
        (*live_state.*action)(live_call);
      }
    };
  };
  call->timeout = state_->loop.after(timeout, on_call(&detail::http_client_state::time_out));
  if (timeout > detail::acknowledgement_timeout) {
    call->silence_check = state_->loop.every(silence_check_interval,
                                             on_call(&detail::http_client_state::check_silence));
  }
  state_->queued_calls.push_back(call);
  state_->start_queued_calls();
  return call;
}

void http_client::write_body(const http_call& call, const std::string& bytes, bool last) {
  const std::shared_ptr<detail::http_client_call> live = call.lock();
  const auto connection = live == nullptr ? nullptr : live->connection.lock();
  if (connection != nullptr && connection->call() == live && !live->body_complete) {
    connection->write_body(bytes, last);
  }
}

void http_client::cancel(const http_call& call) {
  const std::shared_ptr<detail::http_client_call> live = call.lock();
  if (live != nullptr && !live->finished) {
    live->finished = true;
    live->timeout = nullptr;
    live->silence_check = nullptr;
    state_->abandon(live);
  }
}

void http_client::close_idle() {
  const std::vector<detail::connection_pointer> open = state_->connections;
  for (const detail::connection_pointer& connection : open) {
    if (!connection->busy()) {
      state_->drop(connection);
    }
  }
}

std::optional<time_point> http_client::oldest_connection() const {
  std::optional<time_point> oldest;
  for (const detail::connection_pointer& connection : state_->connections) {
    const std::optional<time_point> since = connection->open_since();
    if (since.has_value() && (!oldest.has_value() || *since < *oldest)) {
      oldest = since;
    }
  }
  return oldest;
}

std::uint64_t http_client::connections_opened() const noexcept {
  return state_->opened;
}

}  // namespace crocusdoor

#include "transport/http_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "transport/connection_limit.h"
#include "transport/socket_options.h"
#include "transport/socket_state.h"
#include "transport/stream_input.h"
#include "transport/stream_output.h"

namespace crocusdoor::detail {

namespace {

/// How long a connection that the server ends stays open after its last response or, if the client
/// had not acknowledged it by then, after the acknowledgement. Closing a socket with unread input
/// resets the connection, and the client could lose a response that it has not read.
constexpr duration linger_time = std::chrono::seconds(1);
/// Maximum input of one connection that waits to be handled; it holds pipelined requests.
constexpr std::size_t input_limit_bytes = 65'536;
/// Input behind a request is discarded if it has reached the limit and the request is not answered
/// this long after its first byte.
constexpr duration full_input_time = std::chrono::milliseconds(200);
/// No further request of a connection is read while more output than this is unsent.
constexpr std::size_t unsent_limit_bytes = 65'536;
/// A response that is not acknowledged this long after it was sent is checked for progress.
constexpr duration delivery_check_delay = std::chrono::seconds(1);
/// A new connection counts as active for this long while its first request has not arrived.
constexpr duration first_request_time = std::chrono::milliseconds(300);
constexpr int status_request_timeout = 408;

}  // namespace

http_server_connection::http_server_connection(const std::shared_ptr<http_server_state>& server,
                                               int descriptor)
    : server_(server),
      buffers_(server->buffers),
      reading_charge_(account_of(buffers_), buffer_kind::reading),
      response_charge_(account_of(buffers_), buffer_kind::responses),
      reader_(server->limits.size),
      last_active_at_(server->loop.now()),
      stream_(bufferevent_socket_new(server->loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE)) {
  ++server->counts.open;
  set_connection_options(descriptor);
  bufferevent_setcb(stream_, &http_server_connection::on_read, &http_server_connection::on_write,
                    &http_server_connection::on_event, this);
  bufferevent_setwatermark(stream_, EV_READ, 0, input_limit_bytes);
  bufferevent_enable(stream_, EV_READ | EV_WRITE);
}

http_server_connection::~http_server_connection() {
  if (buffers_ != nullptr) {
    buffers_->remove(*this);
  }
  if (stream_ != nullptr) {
    bufferevent_free(stream_);
  }
}

void http_server_connection::send_response(const http_request& request,
                                           const http_response& response,
                                           undelivered_action on_undelivered) {
  if (stream_ == nullptr || phase_ != phase::answering) {
    return;
  }
  undelivered_action_ = std::move(on_undelivered);
  const std::shared_ptr<http_server_state> server = server_.lock();
  // The client of a connection that ends connects again, with a small receive buffer.
  const bool buffer_needed = large_buffer_ && !buffers_->has_large_buffer();
  const bool keep_open = keep_alive_ && server != nullptr && !server->closing && !buffer_needed &&
                         !has_token(header_value(response.headers, "Connection"), "close");
  write(write_response(response, request.method, keep_open));
  exchange_.reset();
  if (keep_open) {
    end_stream();
    begin_request();
    post_read();
  } else {
    finish_writing();
  }
  update_charges();
  if (server != nullptr && unsent_output() > 0) {
    server->limit_unsent_output();
  }
}

void http_server_connection::close(delivery_failure cause) {
  if (stream_ == nullptr) {
    return;
  }
  report_undelivered(cause);
  end_stream();
  const bool was_ending = phase_ == phase::lingering;
  phase_ = phase::closed;
  bufferevent_free(stream_);
  stream_ = nullptr;
  update_charges();
  if (large_buffer_) {
    large_buffer_ = false;
    buffers_->return_large_buffer();
  }
  if (const auto server = server_.lock()) {
    --server->counts.open;
    server->ending_count -= was_ending ? 1 : 0;
    // Erased in a later iteration of the loop: the set may hold the last reference, and a member
    // function of this object is running.
    server->loop.post([self = shared_from_this(), server] { server->connections.erase(self); });
  }
}

bool http_server_connection::client_has_closed() const {
  return stream_ == nullptr || peer_has_closed(bufferevent_getfd(stream_));
}

void http_server_connection::check_timeouts(const http_server_limits& limits, time_point now) {
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
      check_answering(limits, now);
      break;
    case phase::closed:
      break;
  }
}

void http_server_connection::check_answering(const http_server_limits& limits, time_point now) {
  if (awaits_body()) {
    const bool silent = body_action_ != nullptr && now - last_active_at_ >= limits.idle_timeout;
    if (silent || has_failed()) {
      client_closed(silent ? delivery_failure::client_silent : delivery_failure::connection_failed);
    }
    return;
  }
  const bool full = pending_input() >= input_limit_bytes;
  if ((!reading_ || full) && client_has_closed()) {
    // Reading has stopped, so the loop would not report that the client closed.
    client_closed(delivery_failure::closed_by_client);
  } else if (full && now - request_started_at_ >= full_input_time) {
    // The end of the client's side is behind bytes that the receive buffer has no room for. They
    // are discarded, and the response ends the connection.
    discards_input_ = true;
    keep_alive_ = false;
    evbuffer_drain(bufferevent_get_input(stream_), pending_input());
  }
}

bool http_server_connection::is_active() {
  return phase_ == phase::reading || phase_ == phase::answering ||
         (phase_ == phase::idle && !is_idle()) || (phase_ == phase::lingering && !is_delivered());
}

std::size_t http_server_connection::unsent_output() const {
  return stream_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(stream_));
}

std::size_t http_server_connection::undelivered_bytes() const {
  if (stream_ == nullptr) {
    return 0;
  }
  const std::size_t written = unacknowledged_bytes(bufferevent_getfd(stream_));
  // The end of the sending side follows the last byte of the last response.
  const std::size_t end = sending_ended_ && written > 0 ? 1 : 0;
  return unsent_output() + written - end;
}

bool http_server_connection::is_new() const {
  return !served_ && now() - last_active_at_ < first_request_time;
}

bool http_server_connection::has_unread_bytes() const {
  char byte = 0;
  return stream_ != nullptr && (pending_input() > 0 || recv(bufferevent_getfd(stream_), &byte, 1,
                                                            MSG_PEEK | MSG_DONTWAIT) > 0);
}

void http_server_connection::begin_request() {
  phase_ = phase::idle;
  served_ = true;
  last_active_at_ = now();
  continue_sent_ = false;
  if (const auto server = server_.lock()) {
    reader_ = http_request_reader(server->limits.size);
  }
}

time_point http_server_connection::now() const {
  const auto server = server_.lock();
  return server == nullptr ? last_active_at_ : server->loop.now();
}

bool http_server_connection::is_delivered() {
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

bool http_server_connection::has_failed() const {
  return stream_ == nullptr || connection_has_failed(bufferevent_getfd(stream_));
}

void http_server_connection::check_unused(duration unused_limit, const http_server_limits& limits,
                                          time_point now) {
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

void http_server_connection::check_reading(const http_server_limits& limits, time_point now) {
  const bool headers_timed_out =
      !reader_.in_body() && now - request_started_at_ >= limits.header_timeout;
  // A client that has sent more than was read is not idle.
  const bool waits_for_client = reading_ || !describe().has_unread_input;
  const bool body_timed_out =
      reader_.in_body() && waits_for_client && now - last_active_at_ >= limits.idle_timeout;
  if (headers_timed_out || body_timed_out) {
    refuse(status_request_timeout);
  }
}

void http_server_connection::write(const std::string& bytes) {
  write_output(stream_, bytes);
  delivering_ = true;
  remaining_bytes_ = 0;
}

void http_server_connection::finish_writing() {
  end_stream();
  phase_ = phase::lingering;
  if (const auto server = server_.lock()) {
    server->ending.push_back(weak_from_this());
    ++server->ending_count;
  }
  last_active_at_ = now();
  input_ = std::string();
  reader_ = http_request_reader(http_size_limits{});
  if (unsent_output() == 0) {
    end_sending();
  }
  update_charges();
}

void http_server_connection::end_sending() {
  sending_ended_ = true;
  ::shutdown(bufferevent_getfd(stream_), SHUT_WR);
}

void http_server_connection::refuse(int status, const http_headers& headers) {
  refused_ = true;
  write(write_response({status, headers, ""}, "GET", false));
  finish_writing();
}

void http_server_connection::post_read() {
  const auto server = server_.lock();
  if (server != nullptr && (!input_.empty() || pending_input() > 0)) {
    server->loop.post([self = shared_from_this()] { self->read_available(); });
  }
}

std::size_t http_server_connection::pending_input() const {
  return evbuffer_get_length(bufferevent_get_input(stream_));
}

void http_server_connection::read_available() {
  if (stream_ == nullptr) {
    return;
  }
  if (phase_ == phase::lingering) {
    evbuffer_drain(bufferevent_get_input(stream_), pending_input());
    return;
  }
  if (awaits_body()) {
    read_streamed_body();
    return;
  }
  if (phase_ == phase::answering) {
    // libevent keeps reading up to the limit and detects that the client closes; the bytes stay
    // buffered until the response is sent.
    if (discards_input_) {
      evbuffer_drain(bufferevent_get_input(stream_), pending_input());
    }
    update_charges();
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
    request_bytes_ += pending_input();
    append_input(stream_, input_);
    read_request();
  }
  update_charges();
}

void http_server_connection::read_request() {
  if (input_.empty()) {
    return;
  }
  last_active_at_ = now();
  if (phase_ == phase::idle) {
    phase_ = phase::reading;
    request_started_at_ = last_active_at_;
    request_bytes_ = input_.size();
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
  if (progress == read_progress::incomplete && must_stream()) {
    dispatch_stream();
  }
}

void http_server_connection::dispatch_request() {
  const auto server = server_.lock();
  if (server == nullptr) {
    close();
    return;
  }
  phase_ = phase::answering;
  undelivered_action_ = nullptr;
  keep_alive_ = reader_.keep_alive();
  http_request request = reader_.take();
  update_charges();
  if (!has_room_for(request)) {
    refuse_for_memory(memory_refusal::no_room);
    return;
  }
  const auto exchange =
      std::make_shared<http_exchange>(shared_from_this(), std::move(request), account_of(buffers_));
  exchange_ = exchange;
  server->on_request(exchange);
}

void http_server_connection::report_undelivered(delivery_failure cause) {
  const undelivered_action action = std::exchange(undelivered_action_, nullptr);
  if (action) {
    const std::size_t bytes = undelivered_bytes();
    if (bytes > 0) {
      action({client_ended_ ? delivery_failure::closed_by_client : cause, bytes});
    }
  }
}

void http_server_connection::client_ended() {
  client_ended_ = true;
  if (phase_ == phase::answering || is_delivered()) {
    client_closed(delivery_failure::closed_by_client);
  } else if (phase_ != phase::lingering) {
    finish_writing();
  }
}

void http_server_connection::client_closed(delivery_failure cause) {
  const std::shared_ptr<http_exchange> exchange = exchange_.lock();
  close(cause);
  if (exchange != nullptr) {
    exchange->client_disconnected();
  }
}

void http_server_connection::on_read(bufferevent*, void* context) {
  const auto self = static_cast<http_server_connection*>(context)->shared_from_this();
  self->read_available();
}

void http_server_connection::on_write(bufferevent*, void* context) {
  const auto self = static_cast<http_server_connection*>(context)->shared_from_this();
  if (self->phase_ == phase::lingering) {
    self->end_sending();
  } else {
    self->post_read();
  }
  self->update_charges();
}

void http_server_connection::on_event(bufferevent*, short what, void* context) {
  const auto self = static_cast<http_server_connection*>(context)->shared_from_this();
  if ((what & BEV_EVENT_EOF) != 0) {
    self->client_ended();
  } else if ((what & BEV_EVENT_ERROR) != 0) {
    self->client_closed(delivery_failure::connection_failed);
  }
}

}  // namespace crocusdoor::detail

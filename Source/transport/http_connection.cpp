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
/// A client that has read nothing for this long counts as not reading above the limit.
constexpr duration stalled_time = std::chrono::seconds(5);
/// A new connection counts as active for this long while its first request has not arrived.
constexpr duration first_request_time = std::chrono::milliseconds(300);
/// Input buffers above this size are released once their content has been handled.
constexpr std::size_t kept_input_bytes = 4'096;
/// Sent with a refusal for lack of memory. Others need about this long to finish or to be refused.
constexpr const char* memory_retry_after = "2";
/// Sent with a refusal for lack of connections. Unfinished requests may be refused after this time.
constexpr const char* connections_retry_after = "1";
/// A request of which this much has arrived needs a larger receive buffer to arrive soon.
constexpr std::size_t large_buffer_request_bytes = 4'096;
constexpr int status_request_timeout = 408;
constexpr int status_unavailable = 503;

std::shared_ptr<buffer_account> account_of(const std::shared_ptr<buffer_manager>& buffers) {
  return buffers == nullptr ? nullptr : buffers->account();
}

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

bool http_server_connection::is_stalled(time_point now) {
  const bool unused = phase_ == phase::idle || phase_ == phase::lingering;
  return unused && !is_delivered() && now - last_active_at_ >= stalled_time;
}

connection_standing http_server_connection::standing(time_point now) const {
  if (phase_ == phase::idle && !is_new()) {
    return {connection_use::idle, now - last_active_at_, 0};
  }
  const duration age = now - request_started_at_;
  if (phase_ != phase::reading || age < unfinished_grace_time) {
    return {};
  }
  const double seconds = std::chrono::duration<double>(age).count();
  return {connection_use::unfinished, duration::zero(),
          static_cast<double>(request_bytes_) / seconds};
}

bool http_server_connection::evict(time_point now) {
  const connection_use use = standing(now).use;
  if (use == connection_use::unfinished) {
    refuse(status_request_timeout, {{"Retry-After", connections_retry_after}});
    return true;
  }
  const bool unread = use == connection_use::idle && is_stalled(now);
  if (unread || (use == connection_use::idle && is_idle())) {
    close(unread ? delivery_failure::output_limit : delivery_failure::closed_by_server);
    return true;
  }
  return false;
}

void http_server_connection::refuse_for_lack_of_connections() {
  refuse(status_unavailable, {{"Retry-After", connections_retry_after}});
}

bool http_server_connection::is_dispensable() {
  return phase_ == phase::lingering && (refused_ || is_delivered());
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

void http_server_connection::refuse_for_memory(memory_refusal reason) {
  buffers_->count_refusal(reason);
  refuse(reason == memory_refusal::client_silent ? status_request_timeout : status_unavailable,
         {{"Retry-After", memory_retry_after}});
}

incomplete_request http_server_connection::describe() const {
  return {request_id_, reading_bytes(), last_active_at_, has_unread_bytes()};
}

void http_server_connection::set_reading(bool enabled) {
  if (stream_ == nullptr || reading_ == enabled) {
    return;
  }
  reading_ = enabled;
  if (enabled) {
    bufferevent_enable(stream_, EV_READ);
  } else {
    bufferevent_disable(stream_, EV_READ);
  }
}

std::size_t http_server_connection::reading_bytes() const {
  const bool holds_request = phase_ == phase::reading || streaming_;
  return stream_ == nullptr
             ? 0
             : input_.capacity() + pending_input() + (holds_request ? reader_.held_bytes() : 0);
}

void http_server_connection::update_charges() {
  if (awaits_body()) {
    set_reading(body_action_ != nullptr);
  }
  if (buffers_ == nullptr) {
    return;
  }
  if (input_.empty() && input_.capacity() > kept_input_bytes) {
    input_ = std::string();
  }
  reading_charge_.set(reading_bytes());
  response_charge_.set(unsent_output());
  const bool incomplete = stream_ != nullptr && phase_ == phase::reading;
  if (incomplete && request_id_ == 0) {
    request_id_ = buffers_->next_request_id();
    buffers_->add(*this);
  } else if (!incomplete && request_id_ != 0) {
    request_id_ = 0;
    buffers_->remove(*this);
  }
  if (incomplete) {
    set_reading(buffers_->may_read(*this));
    enlarge_buffer();
  } else if (phase_ == phase::answering) {
    // Pipelined input is read when the response has been sent.
    set_reading(awaits_body() ? body_action_ != nullptr : !buffers_->account()->limited());
    buffers_->check();
  } else {
    set_reading(true);
  }
}

void http_server_connection::enlarge_buffer() {
  if (!large_buffer_ && reading_ && request_bytes_ >= large_buffer_request_bytes &&
      buffers_->take_large_buffer()) {
    large_buffer_ = true;
    set_receive_buffer(bufferevent_getfd(stream_), large_receive_buffer_bytes);
  }
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

bool http_server_connection::must_stream() const {
  const auto server = server_.lock();
  return server != nullptr && phase_ == phase::reading && reader_.in_body() &&
         std::max<std::uint64_t>(reader_.body_length().value_or(0), reader_.untaken_body_bytes()) >
             server->limits.held_body_bytes;
}

void http_server_connection::dispatch_stream() {
  const auto server = server_.lock();
  phase_ = phase::answering;
  undelivered_action_ = nullptr;
  keep_alive_ = false;
  const bool limited = buffers_ != nullptr && buffers_->account()->limited();
  if (limited || server->streamed_requests >= server->limits.streamed_requests) {
    refuse_for_memory(memory_refusal::no_room);
    return;
  }
  streaming_ = true;
  ++server->streamed_requests;
  const auto exchange = std::make_shared<http_exchange>(shared_from_this(), reader_.take_head(),
                                                        account_of(buffers_));
  exchange->streamed_ = true;
  exchange->body_length_ = reader_.body_length();
  exchange_ = exchange;
  update_charges();
  server->on_request(exchange);
}

void http_server_connection::read_body(std::size_t limit, http_exchange::body_action action) {
  const auto server = server_.lock();
  if (stream_ == nullptr || !streaming_ || server == nullptr) {
    return;
  }
  wanted_body_bytes_ = limit;
  body_action_ = std::move(action);
  last_active_at_ = now();
  server->loop.post([self = shared_from_this()] { self->provide_body(); });
}

void http_server_connection::read_streamed_body() {
  last_active_at_ = now();
  request_bytes_ += pending_input();
  append_input(stream_, input_);
  const read_progress progress = reader_.read(input_);
  if (progress == read_progress::refused) {
    fail_stream();
    return;
  }
  if (progress == read_progress::complete) {
    body_complete_ = true;
    keep_alive_ = reader_.keep_alive();
  }
  if (buffers_ != nullptr) {
    enlarge_buffer();
  }
  provide_body();
}

void http_server_connection::provide_body() {
  const bool available = streaming_ && (body_complete_ || reader_.untaken_body_bytes() > 0);
  if (body_action_ == nullptr || !available) {
    update_charges();
    return;
  }
  std::string bytes = reader_.take_body(wanted_body_bytes_);
  const bool last = body_complete_ && reader_.untaken_body_bytes() == 0;
  const http_exchange::body_action action = std::exchange(body_action_, nullptr);
  update_charges();
  action(std::move(bytes), last);
}

void http_server_connection::fail_stream() {
  const std::shared_ptr<http_exchange> exchange = exchange_.lock();
  refuse(reader_.refusal_status());
  if (exchange != nullptr) {
    exchange->client_disconnected();
  }
}

void http_server_connection::end_stream() {
  body_action_ = nullptr;
  body_complete_ = false;
  const auto server = server_.lock();
  if (streaming_ && server != nullptr) {
    --server->streamed_requests;
  }
  streaming_ = false;
}

bool http_server_connection::has_room_for(const http_request& request) const {
  const std::size_t bytes = http_exchange::forwarding_bytes(request);
  // One request may exceed the budget. Reading stops at three quarters of it, so otherwise no
  // request of the full size could be forwarded on a machine with little memory while others are
  // unfinished.
  return buffers_ == nullptr || bytes <= read_schedule::small_request_bytes ||
         buffers_->account()->has_room_for(1);
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

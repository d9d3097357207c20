// The part of a connection that applies the limits on memory and on the number of connections.

#include <event2/bufferevent.h>
#include <event2/event.h>

#include "transport/connection_limit.h"
#include "transport/http_connection.h"
#include "transport/socket_options.h"

namespace crocusdoor::detail {

namespace {

/// A client that has read nothing for this long counts as not reading above the limit.
constexpr duration stalled_time = std::chrono::seconds(5);
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

}  // namespace

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
  if (buffers_ == nullptr) {
    if (awaits_body()) {
      set_reading(body_action_ != nullptr);
    }
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

bool http_server_connection::has_room_for(const http_request& request) const {
  const std::size_t bytes = http_exchange::forwarding_bytes(request);
  // One request may exceed the budget. Reading stops at three quarters of it, so otherwise no
  // request of the full size could be forwarded on a machine with little memory while others are
  // unfinished.
  return buffers_ == nullptr || bytes <= read_schedule::small_request_bytes ||
         buffers_->account()->has_room_for(1);
}

}  // namespace crocusdoor::detail

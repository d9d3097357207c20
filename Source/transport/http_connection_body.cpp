// The part of a connection that passes a request on while its body arrives.

#include <event2/bufferevent.h>

#include <algorithm>
#include <utility>

#include "transport/http_connection.h"
#include "transport/stream_input.h"

namespace crocusdoor::detail {

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

}  // namespace crocusdoor::detail

#include "transport/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <array>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "transport/socket_options.h"

namespace crocusdoor {

namespace {

/// An idle client connection is closed after this time.
constexpr int idle_timeout_s = 120;

constexpr ev_uint16_t allowed_methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                        EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH |
                                        EVHTTP_REQ_OPTIONS;

std::string method_name(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    default:
      return "OTHER";
  }
}

std::string drain_to_string(evbuffer* buffer) {
  std::string text(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, text.data(), text.size());
  return text;
}

/// evhttp reads a body only with POST, PUT and PATCH. With another method it would take the body
/// for the next request on the connection, and the client would get answers to requests it did not
/// make.
bool has_unread_body(evhttp_request* raw) {
  const evhttp_cmd_type command = evhttp_request_get_command(raw);
  if (command == EVHTTP_REQ_POST || command == EVHTTP_REQ_PUT || command == EVHTTP_REQ_PATCH) {
    return false;
  }
  const evkeyvalq* headers = evhttp_request_get_input_headers(raw);
  const char* length = evhttp_find_header(headers, "Content-Length");
  return evhttp_find_header(headers, "Transfer-Encoding") != nullptr ||
         (length != nullptr && std::string_view(length) != "0");
}

http_request read_request(evhttp_request* raw) {
  http_request request;
  request.method = method_name(evhttp_request_get_command(raw));
  request.target = evhttp_request_get_uri(raw);
  for (evkeyval* header = evhttp_request_get_input_headers(raw)->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    request.headers[header->key] = header->value;
  }
  request.body = drain_to_string(evhttp_request_get_input_buffer(raw));
  return request;
}

}  // namespace

bool header_name_less::operator()(const std::string& left, const std::string& right) const {
  return strcasecmp(left.c_str(), right.c_str()) < 0;
}

http_exchange::http_exchange(evhttp_request* raw, http_request received)
    : raw_(raw), request_(std::move(received)) {
  evhttp_connection_set_closecb(evhttp_request_get_connection(raw),
                                &http_exchange::connection_closed, this);
  watch_for_close();
}

/// evhttp does not read from a connection while its request is unanswered, so it does not notice
/// that the client has gone.
void http_exchange::watch_for_close() {
  evhttp_connection* connection = evhttp_request_get_connection(raw_);
  close_watch_ = event_new(evhttp_connection_get_base(connection),
                           bufferevent_getfd(evhttp_connection_get_bufferevent(connection)),
                           EV_CLOSED, &http_exchange::peer_closed, this);
  event_add(close_watch_, nullptr);
}

void http_exchange::peer_closed(int, short, void* context) {
  auto* exchange = static_cast<http_exchange*>(context);
  evhttp_connection_free(evhttp_request_get_connection(exchange->raw_));
}

/// Ends the exchange's interest in its connection.
evhttp_connection* http_exchange::detach() {
  event_free(close_watch_);
  close_watch_ = nullptr;
  evhttp_connection* connection = evhttp_request_get_connection(raw_);
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  return connection;
}

http_exchange::~http_exchange() {
  if (!answered_) {
    respond({500, {}, "no answer was produced\n"});
  }
}

void http_exchange::respond(const http_response& answer) {
  if (answered_ || raw_ == nullptr) {
    return;
  }
  answered_ = true;
  disconnect_action_ = nullptr;
  detach();
  evkeyvalq* headers = evhttp_request_get_output_headers(raw_);
  for (const auto& [name, value] : answer.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer* body = evhttp_request_get_output_buffer(raw_);
  evbuffer_add(body, answer.body.data(), answer.body.size());
  evhttp_send_reply(raw_, answer.status, nullptr, nullptr);
  raw_ = nullptr;
}

void http_exchange::close() {
  if (answered_ || raw_ == nullptr) {
    return;
  }
  answered_ = true;
  disconnect_action_ = nullptr;
  evhttp_connection* connection = detach();
  raw_ = nullptr;
  evhttp_connection_free(connection);
}

void http_exchange::connection_closed(evhttp_connection*, void* context) {
  auto* exchange = static_cast<http_exchange*>(context);
  event_free(exchange->close_watch_);
  exchange->close_watch_ = nullptr;
  exchange->raw_ = nullptr;
  const std::function<void()> action = std::move(exchange->disconnect_action_);
  if (action) {
    action();
  }
}

struct http_server::state {
  evhttp* server = nullptr;
  handler on_request;
  std::uint16_t port = 0;

  static void on_evhttp_request(evhttp_request* raw, void* context) {
    auto* self = static_cast<state*>(context);
    if (has_unread_body(raw)) {
      evhttp_add_header(evhttp_request_get_output_headers(raw), "Connection", "close");
      evhttp_send_reply(raw, 400, "a body is not accepted with this method", nullptr);
      return;
    }
    bufferevent* connection = evhttp_connection_get_bufferevent(evhttp_request_get_connection(raw));
    detail::set_connection_options(bufferevent_getfd(connection));
    self->on_request(std::make_shared<http_exchange>(raw, read_request(raw)));
  }
};

http_server::http_server(event_loop& loop, const ip_endpoint& local, handler on_request,
                         std::size_t body_limit_bytes)
    : state_(std::make_unique<state>()) {
  state_->on_request = std::move(on_request);
  state_->server = evhttp_new(loop.base());
  evhttp_set_max_body_size(state_->server, static_cast<ev_ssize_t>(body_limit_bytes));
  evhttp_set_max_headers_size(state_->server, http_headers_limit_bytes);
  evhttp_set_timeout(state_->server, idle_timeout_s);
  evhttp_set_allowed_methods(state_->server, allowed_methods);
  evhttp_set_gencb(state_->server, &state::on_evhttp_request, state_.get());
  evhttp_bound_socket* bound =
      evhttp_bind_socket_with_handle(state_->server, local.address.c_str(), local.port);
  if (bound == nullptr) {
    evhttp_free(state_->server);
    throw std::runtime_error("cannot listen on " + to_string(local));
  }
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &length);
  state_->port = ntohs(address.sin_port);
}

http_server::~http_server() {
  evhttp_free(state_->server);
}

std::uint16_t http_server::port() const noexcept {
  return state_->port;
}

}  // namespace crocusdoor

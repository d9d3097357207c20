#include "transport/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "transport/socket_options.h"

namespace crocusdoor {

namespace detail {

namespace {

evhttp_cmd_type command_of(const std::string& method) {
  constexpr std::pair<const char*, evhttp_cmd_type> commands[] = {
      {"GET", EVHTTP_REQ_GET},        {"POST", EVHTTP_REQ_POST},     {"HEAD", EVHTTP_REQ_HEAD},
      {"PUT", EVHTTP_REQ_PUT},        {"DELETE", EVHTTP_REQ_DELETE}, {"PATCH", EVHTTP_REQ_PATCH},
      {"OPTIONS", EVHTTP_REQ_OPTIONS}};
  for (const auto& [name, command] : commands) {
    if (method == name) {
      return command;
    }
  }
  return EVHTTP_REQ_GET;
}

http_response read_response(evhttp_request* raw) {
  http_response response;
  response.status = evhttp_request_get_response_code(raw);
  for (evkeyval* header = evhttp_request_get_input_headers(raw)->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    response.headers[header->key] = header->value;
  }
  evbuffer* body = evhttp_request_get_input_buffer(raw);
  response.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, response.body.data(), response.body.size());
  return response;
}

}  // namespace

struct http_client_connection {
  evhttp_connection* raw = nullptr;
  std::shared_ptr<http_client_call> call;
  bool written = false;
  bool failed = false;

  http_client_connection() = default;
  http_client_connection(const http_client_connection&) = delete;
  http_client_connection& operator=(const http_client_connection&) = delete;
  ~http_client_connection() {
    if (raw != nullptr) {
      evhttp_connection_free(raw);
    }
  }
};

struct http_client_call {
  http_request request;
  http_client::callback done;
  timer_handle timeout;
  std::weak_ptr<http_client_connection> connection;
  bool finished = false;
};

struct http_client_state : std::enable_shared_from_this<http_client_state> {
  event_loop& loop;
  ip_endpoint remote;
  std::size_t connection_limit;
  std::vector<std::shared_ptr<http_client_connection>> connections;
  std::deque<std::shared_ptr<http_client_call>> waiting;

  http_client_state(event_loop& owner, ip_endpoint endpoint, std::size_t limit)
      : loop(owner), remote(std::move(endpoint)), connection_limit(limit) {}

  void start_waiting() {
    while (!waiting.empty()) {
      const std::shared_ptr<http_client_connection> connection = free_connection();
      if (connection == nullptr) {
        return;
      }
      const std::shared_ptr<http_client_call> call = waiting.front();
      waiting.pop_front();
      if (!call->finished) {
        dispatch(connection, call);
      }
    }
  }

  std::shared_ptr<http_client_connection> free_connection() {
    for (const auto& connection : connections) {
      if (connection->call == nullptr) {
        return connection;
      }
    }
    if (connections.size() >= connection_limit) {
      return nullptr;
    }
    auto connection = std::make_shared<http_client_connection>();
    connection->raw =
        evhttp_connection_base_new(loop.base(), nullptr, remote.address.c_str(), remote.port);
    evhttp_connection_set_retries(connection->raw, 0);
    evhttp_connection_set_max_body_size(connection->raw, http_body_limit_bytes);
    evhttp_connection_set_max_headers_size(connection->raw, http_headers_limit_bytes);
    bufferevent* stream = evhttp_connection_get_bufferevent(connection->raw);
    evbuffer_add_cb(bufferevent_get_output(stream), &http_client_state::on_output,
                    connection.get());
    connections.push_back(connection);
    return connection;
  }

  /// evhttp writes to the output buffer only once the connection is established, so the first
  /// added byte marks the moment from which the request may reach the server.
  static void on_output(evbuffer*, const evbuffer_cb_info* change, void* context) {
    if (change->n_added > 0) {
      static_cast<http_client_connection*>(context)->written = true;
    }
  }

  struct request_context {
    std::weak_ptr<http_client_state> state;
    std::weak_ptr<http_client_connection> connection;
    std::shared_ptr<http_client_call> call;
    bool error = false;
  };

  void dispatch(const std::shared_ptr<http_client_connection>& connection,
                const std::shared_ptr<http_client_call>& call) {
    connection->call = call;
    connection->written = false;
    call->connection = connection;
    auto* context = new request_context{weak_from_this(), connection, call};
    evhttp_request* raw = evhttp_request_new(&http_client_state::on_response, context);
    evhttp_request_set_error_cb(raw, &http_client_state::on_error);
    evkeyvalq* headers = evhttp_request_get_output_headers(raw);
    for (const auto& [name, value] : call->request.headers) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    if (!call->request.headers.contains("Host")) {
      evhttp_add_header(headers, "Host", to_string(remote).c_str());
    }
    // evhttp states the length of a body only with POST, PUT and PATCH.
    if (!call->request.body.empty() && !call->request.headers.contains("Content-Length")) {
      evhttp_add_header(headers, "Content-Length",
                        std::to_string(call->request.body.size()).c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(raw), call->request.body.data(),
                 call->request.body.size());
    evhttp_make_request(connection->raw, raw, command_of(call->request.method),
                        call->request.target.c_str());
  }

  static void on_error(evhttp_request_error, void* context) {
    static_cast<request_context*>(context)->error = true;
  }

  static void on_response(evhttp_request* raw, void* argument) {
    const std::unique_ptr<request_context> context(static_cast<request_context*>(argument));
    const std::shared_ptr<http_client_connection> connection = context->connection.lock();
    const std::shared_ptr<http_client_state> state = context->state.lock();
    if (connection == nullptr || state == nullptr) {
      return;
    }
    http_result result;
    const bool whole =
        raw != nullptr && !context->error && evhttp_request_get_response_code(raw) != 0;
    if (whole) {
      result.outcome = http_outcome::answered;
      result.response = read_response(raw);
      detail::set_connection_options(
          bufferevent_getfd(evhttp_connection_get_bufferevent(connection->raw)));
    } else {
      result.outcome = connection->written ? http_outcome::interrupted : http_outcome::not_sent;
    }
    connection->failed = !whole;
    state->finish(context->call, result);
    state->loop.post([state, connection] { state->release(connection); });
  }

  /// Makes the connection free again, or drops it after a failure.
  void release(const std::shared_ptr<http_client_connection>& connection) {
    connection->call = nullptr;
    if (connection->failed) {
      std::erase(connections, connection);
    }
    start_waiting();
  }

  void finish(const std::shared_ptr<http_client_call>& call, const http_result& result) {
    if (call->finished) {
      return;
    }
    call->finished = true;
    call->timeout = nullptr;
    loop.post([call, result] {
      const http_client::callback done = std::move(call->done);
      done(result);
    });
  }

  /// Closes the connection of a call, if it has one; whether the request may have been sent.
  bool abandon(const std::shared_ptr<http_client_call>& call) {
    const std::shared_ptr<http_client_connection> connection = call->connection.lock();
    if (connection == nullptr || connection->call != call) {
      return false;
    }
    const bool written = connection->written;
    std::erase(connections, connection);
    loop.post([self = shared_from_this(), connection] {
      connection->call = nullptr;
      self->start_waiting();
    });
    return written;
  }

  void time_out(const std::shared_ptr<http_client_call>& call) {
    const bool written = abandon(call);
    finish(call, {written ? http_outcome::timed_out : http_outcome::not_sent, {}});
  }
};

}  // namespace detail

http_client::http_client(event_loop& loop, ip_endpoint remote, std::size_t connection_limit)
    : state_(
          std::make_shared<detail::http_client_state>(loop, std::move(remote), connection_limit)) {}

http_client::~http_client() = default;

http_call http_client::send(http_request request, duration timeout, callback done) {
  auto call = std::make_shared<detail::http_client_call>();
  call->request = std::move(request);
  call->done = std::move(done);
  std::weak_ptr<detail::http_client_state> state = state_;
  std::weak_ptr<detail::http_client_call> weak_call = call;
  call->timeout = state_->loop.after(timeout, [state, weak_call] {
    const auto live_state = state.lock();
    const auto live_call = weak_call.lock();
    if (live_state != nullptr && live_call != nullptr) {
      live_state->time_out(live_call);
    }
  });
  state_->waiting.push_back(call);
  state_->start_waiting();
  return call;
}

void http_client::cancel(const http_call& call) {
  const std::shared_ptr<detail::http_client_call> live = call.lock();
  if (live != nullptr && !live->finished) {
    live->finished = true;
    live->timeout = nullptr;
    state_->abandon(live);
  }
}

}  // namespace crocusdoor

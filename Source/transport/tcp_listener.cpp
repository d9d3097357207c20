#include "transport/tcp_listener.h"

#include <event2/listener.h>
#include <sys/socket.h>

#include <stdexcept>
#include <utility>

#include "transport/socket_address.h"
#include "transport/socket_options.h"

namespace crocusdoor {

namespace {

/// Pause after a connection could not be accepted.
constexpr duration accept_pause = std::chrono::milliseconds(100);

}  // namespace

struct tcp_listener::state {
  event_loop& loop;
  std::function<void(std::intptr_t)> accepted;
  evconnlistener* listener = nullptr;
  timer_handle resume_timer;
  std::uint16_t port = 0;

  void pause() {
    evconnlistener_disable(listener);
    resume_timer = loop.after(accept_pause, [this] { evconnlistener_enable(listener); });
  }

  static void on_accept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
                        void* context) {
    static_cast<state*>(context)->accepted(descriptor);
  }

  static void on_error(evconnlistener*, void* context) { static_cast<state*>(context)->pause(); }
};

tcp_listener::tcp_listener(event_loop& loop, const ip_endpoint& local,
                           std::function<void(std::intptr_t)> accepted, int receive_buffer)
    : state_(std::make_unique<state>(state{loop, std::move(accepted)})) {
  const auto address = detail::to_socket_address(local);
  if (!address.has_value()) {
    throw std::runtime_error("listen address is not a numeric IPv4 address: " + to_string(local));
  }
  state_->listener = evconnlistener_new_bind(
      loop.base(), &state::on_accept, state_.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, SOMAXCONN,
      reinterpret_cast<const sockaddr*>(&*address), sizeof(*address));
  if (state_->listener == nullptr) {
    throw std::runtime_error("cannot listen on " + to_string(local));
  }
  evconnlistener_set_error_cb(state_->listener, &state::on_error);
  if (receive_buffer > 0) {
    detail::set_receive_buffer(evconnlistener_get_fd(state_->listener), receive_buffer);
  }
  sockaddr_in bound{};
  socklen_t bound_length = sizeof(bound);
  getsockname(evconnlistener_get_fd(state_->listener), reinterpret_cast<sockaddr*>(&bound),
              &bound_length);
  state_->port = ntohs(bound.sin_port);
}

tcp_listener::~tcp_listener() {
  evconnlistener_free(state_->listener);
}

void tcp_listener::accept_pending() {
  const evutil_socket_t listening = evconnlistener_get_fd(state_->listener);
  for (;;) {
    const int accepted = ::accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    state_->accepted(accepted);
  }
}

std::uint16_t tcp_listener::port() const noexcept {
  return state_->port;
}

}  // namespace crocusdoor

#include "transport/peer_listener.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <stdexcept>
#include <utility>

namespace crocusdoor {

struct peer_listener::state {
  std::function<void(std::intptr_t)> accepted;
  evconnlistener* listener = nullptr;
  std::uint16_t port = 0;

  static void on_accept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
                        void* context) {
    static_cast<state*>(context)->accepted(descriptor);
  }
};

peer_listener::peer_listener(event_loop& loop, const ip_endpoint& local,
                             std::function<void(std::intptr_t)> accepted)
    : state_(std::make_unique<state>()) {
  state_->accepted = std::move(accepted);
  sockaddr_storage address{};
  int length = sizeof(address);
  const std::string text = to_string(local);
  if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&address), &length) !=
      0) {
    throw std::runtime_error("not a numeric address: " + text);
  }
  state_->listener =
      evconnlistener_new_bind(loop.base(), &state::on_accept, state_.get(),
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                              SOMAXCONN, reinterpret_cast<sockaddr*>(&address), length);
  if (state_->listener == nullptr) {
    throw std::runtime_error("cannot listen on " + text);
  }
  sockaddr_in bound{};
  socklen_t bound_length = sizeof(bound);
  getsockname(evconnlistener_get_fd(state_->listener), reinterpret_cast<sockaddr*>(&bound),
              &bound_length);
  state_->port = ntohs(bound.sin_port);
}

peer_listener::~peer_listener() {
  evconnlistener_free(state_->listener);
}

std::uint16_t peer_listener::port() const noexcept {
  return state_->port;
}

}  // namespace crocusdoor

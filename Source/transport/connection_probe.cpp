#include "transport/connection_probe.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "transport/loop_time.h"
#include "transport/socket_address.h"

namespace crocusdoor {

namespace detail {

class connection_probe : public std::enable_shared_from_this<connection_probe> {
 public:
  connection_probe(event_loop& loop, std::function<void(probe_result)> done)
      : loop_(loop),
        done_(std::move(done)),
        stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(stream_, nullptr, nullptr, &connection_probe::on_event, this);
  }
  ~connection_probe() { bufferevent_free(stream_); }
  connection_probe(const connection_probe&) = delete;
  connection_probe& operator=(const connection_probe&) = delete;

  void start(const ip_endpoint& remote, duration timeout) {
    const auto address = to_socket_address(remote);
    const timeval limit = to_timeval(timeout);
    bufferevent_set_timeouts(stream_, nullptr, &limit);
    bufferevent_enable(stream_, EV_WRITE);
    const bool started =
        address.has_value() &&
        bufferevent_socket_connect(stream_, reinterpret_cast<const sockaddr*>(&*address),
                                   sizeof(*address)) == 0;
    if (!started) {
      post(probe_result::unknown);
    }
  }

 private:
  static void on_event(bufferevent* /*stream*/, short events, void* context) {
    const int error = EVUTIL_SOCKET_ERROR();
    auto& self = *static_cast<connection_probe*>(context);
    if ((events & BEV_EVENT_CONNECTED) != 0) {
      self.post(probe_result::accepted);
    } else {
      const bool refused =
          (events & BEV_EVENT_ERROR) != 0 && (error == ECONNREFUSED || error == ECONNRESET);
      self.post(refused ? probe_result::refused : probe_result::unknown);
    }
  }

  /// Reports the result once the callback of libevent has returned, because `done` may destroy the
  /// probe.
  void post(probe_result result) {
    loop_.post([weak = weak_from_this(), result] {
      const auto self = weak.lock();
      if (self != nullptr && self->done_ != nullptr) {
        std::exchange(self->done_, nullptr)(result);
      }
    });
  }

  event_loop& loop_;
  std::function<void(probe_result)> done_;
  bufferevent* stream_;
};

}  // namespace detail

probe_handle probe_connection(event_loop& loop, const ip_endpoint& remote, duration timeout,
                              std::function<void(probe_result)> done) {
  const auto probe = std::make_shared<detail::connection_probe>(loop, std::move(done));
  probe->start(remote, timeout);
  return probe;
}

}  // namespace crocusdoor

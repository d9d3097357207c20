#include "transport/acknowledgement_watch.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace crocusdoor::detail {

std::optional<acknowledgement_state> read_acknowledgements(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return std::nullopt;
  }
  const bool sent_since =
      info.tcpi_unacked > 0 && info.tcpi_last_data_sent < info.tcpi_last_ack_recv;
  return acknowledgement_state{sent_since || info.tcpi_probes > 0,
                               std::chrono::milliseconds(info.tcpi_last_ack_recv)};
}

bool acknowledgement_watch::is_silent(const acknowledgement_state& state, time_point now) {
  if (!state.awaited) {
    awaited_since_ = std::nullopt;
    return false;
  }
  if (!awaited_since_.has_value() || now - state.since_last > *awaited_since_) {
    awaited_since_ = now;
  }
  return now - *awaited_since_ >= acknowledgement_timeout;
}

bool acknowledgement_watch::is_silent(int descriptor, time_point now) {
  const std::optional<acknowledgement_state> state = read_acknowledgements(descriptor);
  return state.has_value() && is_silent(*state, now);
}

}  // namespace crocusdoor::detail

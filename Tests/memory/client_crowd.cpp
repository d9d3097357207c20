#include "client_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <thread>
#include <utility>

namespace crocusdoor::test {

namespace {

using steady = std::chrono::steady_clock;

/// A crowd stops when the process has taken nothing for this long.
constexpr std::chrono::seconds quiet_time{3};
/// Ends a crowd that is served slowly for ever.
constexpr std::chrono::seconds send_time_limit{120};
constexpr std::chrono::milliseconds poll_time{20};
constexpr std::size_t pattern_bytes = 65'536;
constexpr std::size_t received_limit_bytes = 1'000;

std::string repeat(const std::string& unit) {
  std::string pattern;
  while (!unit.empty() && pattern.size() < pattern_bytes + unit.size()) {
    pattern += unit;
  }
  return pattern;
}

}  // namespace

client_crowd::~client_crowd() {
  for (client& connected_client : clients_) {
    disconnect(connected_client);
  }
}

bool client_crowd::add(std::uint16_t port, client_script script) {
  client added;
  added.pattern = repeat(script.unit);
  added.script = std::move(script);
  added.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in remote{};
  remote.sin_family = AF_INET;
  remote.sin_port = htons(port);
  remote.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool succeeded =
      ::connect(added.descriptor, reinterpret_cast<sockaddr*>(&remote), sizeof(remote)) == 0;
  ::fcntl(added.descriptor, F_SETFL, O_NONBLOCK);
  clients_.push_back(std::move(added));
  if (!succeeded) {
    disconnect(clients_.back());
  }
  return succeeded;
}

void client_crowd::send_all(crowd_pace pace) {
  const auto end = steady::now() + send_time_limit;
  auto last_progress = steady::now();
  const auto has_more = [](const client& sender) { return sender.has_more(); };
  while (std::any_of(clients_.begin(), clients_.end(), has_more) && steady::now() < end &&
         steady::now() - last_progress < quiet_time) {
    if (take_turns(pace.piece_bytes, true)) {
      last_progress = steady::now();
    }
    std::this_thread::sleep_for(pace.pause);
  }
}

void client_crowd::send_for(crowd_pace pace, std::chrono::milliseconds span) {
  const auto end = steady::now() + span;
  while (steady::now() < end) {
    take_turns(pace.piece_bytes, true);
    std::this_thread::sleep_for(pace.pause);
  }
}

void client_crowd::stay_connected(std::chrono::milliseconds span) {
  const auto end = steady::now() + span;
  while (steady::now() < end) {
    take_turns(0, false);
    std::this_thread::sleep_for(poll_time);
  }
}

std::size_t client_crowd::connected() const {
  return static_cast<std::size_t>(std::count_if(
      clients_.begin(), clients_.end(), [](const client& each) { return each.descriptor >= 0; }));
}

std::size_t client_crowd::sent_bytes() const {
  std::size_t sum = 0;
  for (const client& each : clients_) {
    sum += each.sent;
  }
  return sum;
}

std::size_t client_crowd::answered(const std::string& status) const {
  const std::string beginning = "HTTP/1.1 " + status;
  return static_cast<std::size_t>(
      std::count_if(clients_.begin(), clients_.end(), [&](const client& each) {
        return each.received.compare(0, beginning.size(), beginning) == 0;
      }));
}

bool client_crowd::take_turns(std::size_t piece_bytes, bool send) {
  std::vector<pollfd> watched;
  watched.reserve(clients_.size());
  for (const client& each : clients_) {
    const bool writes = send && each.has_more();
    watched.push_back({each.descriptor, static_cast<short>(POLLIN | (writes ? POLLOUT : 0)), 0});
  }
  ::poll(watched.data(), watched.size(), static_cast<int>(poll_time.count()));
  bool progress = false;
  for (std::size_t i = 0; i < clients_.size(); ++i) {
    if ((watched[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
      progress = read_available(clients_[i]) || progress;
    }
    if ((watched[i].revents & POLLOUT) != 0 && clients_[i].descriptor >= 0) {
      progress = write_piece(clients_[i], piece_bytes) || progress;
    }
  }
  return progress;
}

bool client_crowd::write_piece(client& sender, std::size_t piece_bytes) {
  const client_script& script = sender.script;
  const std::size_t units_end = script.head.size() + script.unit.size() * script.units;
  const char* data = nullptr;
  std::size_t size = 0;
  if (sender.sent < script.head.size()) {
    data = script.head.data() + sender.sent;
    size = script.head.size() - sender.sent;
  } else if (sender.sent < units_end) {
    const std::size_t begin = (sender.sent - script.head.size()) % script.unit.size();
    data = sender.pattern.data() + begin;
    size = std::min(sender.pattern.size() - begin, units_end - sender.sent);
  } else {
    const std::size_t begin = sender.sent - units_end;
    data = script.tail.data() + begin;
    size = script.tail.size() - begin;
  }
  const ssize_t sent =
      ::send(sender.descriptor, data, std::min(size, piece_bytes), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent > 0) {
    sender.sent += static_cast<std::size_t>(sent);
  } else if (sent < 0 && errno != EAGAIN && errno != EINTR) {
    disconnect(sender);
  }
  return sent > 0;
}

bool client_crowd::read_available(client& reader) {
  std::array<char, 16'384> bytes{};
  const ssize_t count = ::recv(reader.descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (count > 0) {
    const std::size_t room = received_limit_bytes - reader.received.size();
    reader.received.append(bytes.data(), std::min(room, static_cast<std::size_t>(count)));
  } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
    disconnect(reader);
  }
  return count > 0;
}

void client_crowd::disconnect(client& ended) {
  if (ended.descriptor >= 0) {
    ::close(ended.descriptor);
    ended.descriptor = -1;
  }
}

}  // namespace crocusdoor::test

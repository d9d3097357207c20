#pragma once

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>

namespace crocusdoor {

/// Properties of a connection; 0 stands for the default of the system.
struct raw_connection_options {
  int receive_buffer_bytes = 0;
  int segment_bytes = 0;
};

/// A window and segments as on a weak link: most of a long response stays with the server until the
/// test reads.
inline constexpr raw_connection_options weak_link{16'384, 1'460};

/// Drops all further segments to a socket before the kernel acknowledges them, as if its machine
/// had lost its power.
inline void stop_acknowledging(int descriptor) {
  sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{1, &drop_all};
  ::setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

/// Connection to a port on loopback on which a test writes the bytes itself. It does not use the
/// event loop, so the server under test reads them only when the loop runs.
class raw_connection {
 public:
  explicit raw_connection(std::uint16_t port, const raw_connection_options& options = {})
      : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    set_option(SOL_SOCKET, SO_RCVBUF, options.receive_buffer_bytes);
    set_option(IPPROTO_TCP, TCP_MAXSEG, options.segment_bytes);
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(port);
    remote.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at_end_ = connect(descriptor_, reinterpret_cast<sockaddr*>(&remote), sizeof(remote)) != 0;
  }
  ~raw_connection() { close(); }
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  void write(const std::string& bytes) const {
    ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  /// Writes as many of the bytes as the connection takes at once. Returns their number.
  [[nodiscard]] std::size_t write_some(const std::string& bytes) const {
    const ssize_t sent =
        ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }

  /// Drops all further segments of the server before the kernel acknowledges them.
  void stop_acknowledging() const { crocusdoor::stop_acknowledging(descriptor_); }

  /// Ends the sending side.
  void shut_down() const { ::shutdown(descriptor_, SHUT_WR); }

  void close() {
    if (descriptor_ >= 0) {
      ::close(descriptor_);
      descriptor_ = -1;
    }
  }

  /// All bytes received so far.
  const std::string& received() {
    read_available();
    return received_;
  }

  /// Reads at most this many bytes that have arrived. Returns all bytes received so far.
  const std::string& receive_some(std::size_t limit) {
    std::string bytes(limit, '\0');
    const ssize_t count = recv(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT);
    at_end_ = at_end_ || count == 0;
    received_.append(bytes, 0, count > 0 ? static_cast<std::size_t>(count) : 0);
    return received_;
  }

  /// Whether the connection could not be made or the server has closed it.
  bool at_end() {
    read_available();
    return at_end_;
  }

 private:
  void set_option(int level, int name, int value) const {
    if (value > 0) {
      ::setsockopt(descriptor_, level, name, &value, sizeof(value));
    }
  }

  void read_available() {
    std::array<char, 4'096> buffer{};
    ssize_t count = 0;
    while (!at_end_ &&
           (count = recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT)) >= 0) {
      at_end_ = count == 0;
      received_.append(buffer.data(), static_cast<std::size_t>(count));
    }
    at_end_ = at_end_ || (count < 0 && errno == ECONNRESET);
  }

  int descriptor_;
  bool at_end_ = false;
  std::string received_;
};

}  // namespace crocusdoor

#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>

namespace crocusdoor {

/// Connection to a port on loopback on which a test writes the bytes itself. It does not use the
/// event loop, so the server under test reads them only when the loop runs.
class raw_connection {
 public:
  explicit raw_connection(std::uint16_t port) : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
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

  /// Whether the connection could not be made or the server has closed it.
  bool at_end() {
    read_available();
    return at_end_;
  }

 private:
  void read_available() {
    std::array<char, 4'096> buffer{};
    ssize_t count = 0;
    while (!at_end_ &&
           (count = recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT)) >= 0) {
      at_end_ = count == 0;
      received_.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }

  int descriptor_;
  bool at_end_ = false;
  std::string received_;
};

}  // namespace crocusdoor

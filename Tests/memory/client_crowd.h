#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace crocusdoor::test {

/// What one client sends: a head, a unit that is repeated, and a tail. A client without a tail
/// stops before the end of its request and keeps its connection open.
struct client_script {
  std::string head;
  std::string unit;
  std::size_t units = 0;
  std::string tail;

  [[nodiscard]] std::size_t size() const { return head.size() + unit.size() * units + tail.size(); }
};

/// How a crowd sends its scripts.
struct crowd_pace {
  std::size_t piece_bytes = 65'536;    ///< Largest write of one client.
  std::chrono::milliseconds pause{0};  ///< After each client had its turn to write.
};

/// Clients on loopback that send their scripts at the same time and stay connected.
class client_crowd {
 public:
  client_crowd() = default;
  ~client_crowd();
  client_crowd(const client_crowd&) = delete;
  client_crowd& operator=(const client_crowd&) = delete;

  /// Connects one client. Returns false if it cannot connect.
  bool add(std::uint16_t port, client_script script);
  /// Sends until all clients have sent their scripts or have been disconnected, or until the
  /// process has taken nothing for `quiet_time`. Discards what the process sends.
  void send_all(crowd_pace pace);
  /// Sends for this long and reads what the process sends.
  void send_for(crowd_pace pace, std::chrono::milliseconds span);
  /// Reads what the process sends for this long, without sending.
  void stay_connected(std::chrono::milliseconds span);

  [[nodiscard]] std::size_t size() const noexcept { return clients_.size(); }
  [[nodiscard]] std::size_t connected() const;
  /// Bytes that the kernel has taken from all clients.
  [[nodiscard]] std::size_t sent_bytes() const;
  /// Number of clients whose first response has this status.
  [[nodiscard]] std::size_t answered(const std::string& status) const;

 private:
  struct client {
    int descriptor = -1;
    client_script script;
    std::string pattern;  ///< The unit, repeated so that one write can hold many.
    std::size_t sent = 0;
    std::string received;  ///< The beginning.
    [[nodiscard]] bool has_more() const { return descriptor >= 0 && sent < script.size(); }
  };

  /// Handles each client that is ready once; returns whether any has sent or received something.
  bool take_turns(std::size_t piece_bytes, bool send);
  static bool write_piece(client& sender, std::size_t piece_bytes);
  static bool read_available(client& reader);
  static void disconnect(client& ended);

  std::vector<client> clients_;
};

}  // namespace crocusdoor::test

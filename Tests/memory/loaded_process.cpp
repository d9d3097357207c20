#include "loaded_process.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <limits>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace crocusdoor::test {

namespace {

using steady = std::chrono::steady_clock;

/// Test processes look for free ports from here on, below those of outgoing connections.
constexpr std::uint16_t first_port = 12'000;
constexpr std::uint16_t port_range = 18'000;
/// Ends a wait whose condition never holds.
constexpr std::chrono::seconds wait_limit{30};
constexpr std::chrono::milliseconds poll_interval{50};
constexpr timeval response_timeout{15, 0};
constexpr std::size_t bytes_per_kib = 1'024;

sockaddr_in loopback_address(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool port_is_free(std::uint16_t port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = loopback_address(port);
  const int bound =
      ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  ::close(descriptor);
  return bound == 0;
}

std::uint16_t take_port() {
  static auto next = static_cast<std::uint16_t>(first_port + (::getpid() * 61) % port_range);
  while (!port_is_free(next)) {
    ++next;
  }
  return next++;
}

/// Starts a process with a soft limit on descriptors; 0 keeps that of the test.
std::unique_ptr<child_process> start_process(const std::vector<std::string>& command,
                                             const std::string& log_file, std::size_t descriptors) {
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  rlimit lowered = before;
  if (descriptors > 0) {
    lowered.rlim_cur = descriptors;
  }
  ::setrlimit(RLIMIT_NOFILE, &lowered);
  auto process = std::make_unique<child_process>(command, log_file);
  ::setrlimit(RLIMIT_NOFILE, &before);
  return process;
}

std::string make_temporary_directory() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "crocusdoor-memory-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory for the test");
  }
  return pattern;
}

}  // namespace

loaded_process::loaded_process(int memory_mb, target_pattern pattern)
    : loaded_process(process_limits{memory_mb}, pattern) {}

loaded_process::loaded_process(process_limits limits, target_pattern pattern)
    : ports_{take_port(), take_port(), take_port(), take_port(),
             take_port(), take_port(), take_port()},
      directory_(make_temporary_directory()),
      log_file_(directory_ + "/sidecar.log"),
      surroundings_(std::make_unique<surroundings>(ports_, pattern, limits.body_bytes)),
      process_(start_process({SIDECAR_PROGRAM, "--settings", write_settings(limits)}, log_file_,
                             limits.descriptors)) {
  if (!serves()) {
    throw std::runtime_error("the sidecar does not serve; see " + log_file_);
  }
}

std::string loaded_process::write_settings(const process_limits& limits) const {
  const auto address = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
  const json document = {
      {"instance", {{"name", "sidecar-1"}, {"domain", "zone-1"}, {"region", "region-1"}}},
      {"listen",
       {{"callers", address(ports_.callers)},
        {"readiness", address(ports_.readiness)},
        {"registration", address(ports_.registration)},
        {"peers", address(ports_.peers)},
        {"metrics", address(ports_.metrics)}}},
      {"target", {{"endpoint", address(ports_.target)}, {"service", "uploads"}}},
      {"store", address(ports_.store)},
      {"limits", {{"memory_mb", limits.memory_mb}}}};
  std::string path = directory_ + "/settings.json";
  std::ofstream(path) << document.dump(2);
  return path;
}

process_usage loaded_process::usage() const {
  const std::string folder = "/proc/" + std::to_string(process_->id());
  process_usage result;
  std::ifstream status(folder + "/status");
  for (std::string word; status >> word;) {
    std::size_t kib = 0;
    if (word == "VmRSS:" && status >> kib) {
      result.resident_bytes = kib * bytes_per_kib;
    } else if (word == "VmHWM:" && status >> kib) {
      result.peak_resident_bytes = kib * bytes_per_kib;
    }
  }
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder + "/fd", error)) {
    result.descriptors += entry.path().empty() ? 0 : 1;
  }
  return result;
}

std::size_t loaded_process::unread_bytes() const {
  // Columns: number, local address, remote address, state, send queue and receive queue.
  constexpr int hexadecimal = 16;
  constexpr const char* listening = "0A";
  std::ifstream table("/proc/net/tcp");
  table.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
  std::size_t sum = 0;
  for (std::string line; std::getline(table, line);) {
    std::istringstream columns(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    columns >> number >> local >> remote >> state >> queues;
    const auto port = std::stoul(local.substr(local.find(':') + 1), nullptr, hexadecimal);
    if (port == ports_.callers && state != listening) {
      sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
    }
  }
  return sum;
}

bool loaded_process::asleep() const {
  std::ifstream stat("/proc/" + std::to_string(process_->id()) + "/stat");
  std::string content;
  std::getline(stat, content);
  const std::size_t name_end = content.rfind(") ");
  return name_end != std::string::npos && content[name_end + 2] == 'S';
}

bool loaded_process::serves() {
  const auto end = steady::now() + wait_limit;
  while (steady::now() < end && alive()) {
    if (exchange(request_head("GET") + "\r\n").starts_with("HTTP/1.1 200")) {
      return true;
    }
    std::this_thread::sleep_for(poll_interval);
  }
  return false;
}

std::string loaded_process::exchange(const std::string& request) const {
  return exchange(ports_.callers, request);
}

std::string loaded_process::exchange(std::uint16_t port, const std::string& request) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &response_timeout, sizeof(timeval));
  ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &response_timeout, sizeof(timeval));
  const sockaddr_in address = loopback_address(port);
  std::string received;
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
    std::size_t sent = 0;
    ssize_t count = 1;
    while (count > 0 && sent < request.size()) {
      count = ::send(descriptor, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
      sent += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    std::array<char, 4'096> bytes{};
    while (received.find("\r\n\r\n") == std::string::npos &&
           (count = ::recv(descriptor, bytes.data(), bytes.size(), 0)) > 0) {
      received.append(bytes.data(), static_cast<std::size_t>(count));
    }
  }
  ::close(descriptor);
  return received;
}

std::string request_head(const std::string& method, const std::string& fields) {
  return method + " /files HTTP/1.1\r\nHost: uploads.example\r\n" + fields;
}

}  // namespace crocusdoor::test

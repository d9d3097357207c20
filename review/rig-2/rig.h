#pragma once

// Stand-ins for the cases of the second review: the platform's store, upstreams and clients, as
// threads of one process, and sidecars as child processes. They speak the users' protocol over
// loopback TCP with blocking sockets.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

extern char** environ;

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline constexpr const char* loopback = "127.0.0.1";

/// Milliseconds since the start of the test.
inline std::int64_t elapsed_ms() {
  static const steady::time_point began = steady::now();
  return std::chrono::duration_cast<milliseconds>(steady::now() - began).count();
}

inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void sleep_ms(std::int64_t span) {
  std::this_thread::sleep_for(milliseconds(span));
}

/// The record of the test: one line for each thing that was sent, answered or run.
class record {
 public:
  explicit record(const std::string& path) : file_(path) {}

  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_ << elapsed_ms() << " ms  " << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline std::string random_id() {
  static std::mutex mutex;
  static std::mt19937_64 generator{std::random_device{}()};
  const std::lock_guard lock(mutex);
  constexpr const char* digits = "0123456789abcdef";
  std::string id;
  for (int i = 0; i < 16; ++i) {
    id += digits[generator() % 16];
  }
  return id;
}

/// Bytes that are not text are shown as hexadecimal numbers.
inline std::string printable(const std::string& text) {
  constexpr const char* digits = "0123456789abcdef";
  std::string shown;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte >= 0x20 && byte < 0x7f) {
      shown += character;
    } else {
      shown += std::string("\\x") + digits[byte / 16] + digits[byte % 16];
    }
  }
  return shown;
}

// ---------------------------------------------------------------------------------------------
// Sockets and HTTP.

/// A socket that is closed with its last owner.
class socket_handle {
 public:
  explicit socket_handle(int descriptor = -1) : descriptor_(descriptor) {}
  ~socket_handle() { close(); }
  socket_handle(socket_handle&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  socket_handle& operator=(socket_handle&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  socket_handle(const socket_handle&) = delete;
  socket_handle& operator=(const socket_handle&) = delete;

  [[nodiscard]] int get() const noexcept { return descriptor_; }
  [[nodiscard]] bool valid() const noexcept { return descriptor_ >= 0; }
  void close() {
    if (descriptor_ >= 0) {
      ::close(std::exchange(descriptor_, -1));
    }
  }

 private:
  int descriptor_;
};

inline sockaddr_in address_of(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline socket_handle listen_on(std::uint16_t port) {
  socket_handle listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = address_of(port);
  if (::bind(listener.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(listener.get(), 512) != 0) {
    throw std::runtime_error("cannot listen on port " + std::to_string(port));
  }
  return listener;
}

inline std::uint16_t port_of(const socket_handle& bound) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(bound.get(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// A port that no other process of this machine uses now. It lies below the range from which the
/// kernel takes the ports of outgoing connections, and mostly in another part of it than those of
/// other cases that run at the same time. Each port is returned once.
inline std::uint16_t free_port() {
  static std::mutex mutex;
  static std::set<std::uint16_t> used;
  static std::mt19937 generator{std::random_device{}()};
  constexpr int part_size = 1'000;
  const int lowest = 12'000 + ::getpid() % 19 * part_size;
  std::uniform_int_distribution<std::uint16_t> ports(
      static_cast<std::uint16_t>(lowest), static_cast<std::uint16_t>(lowest + part_size - 1));
  const std::lock_guard lock(mutex);
  for (;;) {
    const std::uint16_t port = ports(generator);
    if (used.contains(port)) {
      continue;
    }
    try {
      const socket_handle probe = listen_on(port);
      used.insert(port);
      return port;
    } catch (const std::runtime_error&) {
      used.insert(port);  // Another process has it.
    }
  }
}

inline socket_handle connect_to(std::uint16_t port) {
  socket_handle connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(connection.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = address_of(port);
  if (::connect(connection.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
      0) {
    connection.close();
  }
  return connection;
}

inline bool send_all(const socket_handle& connection, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        ::send(connection.get(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

/// What is written of one HTTP message. The names of headers are in lower case.
struct http_message {
  std::string start;
  std::map<std::string, std::string> headers;
  std::string body;

  [[nodiscard]] std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
  }
  /// Word of the start line, from 0.
  [[nodiscard]] std::string word(int index) const {
    std::size_t begin = 0;
    for (; index > 0 && begin != std::string::npos; --index) {
      begin = start.find(' ', begin);
      begin = begin == std::string::npos ? begin : begin + 1;
    }
    return begin == std::string::npos ? std::string()
                                      : start.substr(begin, start.find(' ', begin) - begin);
  }
};

/// Reads messages from a connection.
class message_reader {
 public:
  explicit message_reader(const socket_handle& connection) : connection_(connection) {}

  /// Reads one message; returns nothing if the connection ends or the time passes before its end.
  std::optional<http_message> read(std::int64_t timeout_ms) {
    until_ = steady::now() + milliseconds(timeout_ms);
    std::size_t end = std::string::npos;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
      if (!receive()) {
        return std::nullopt;
      }
    }
    http_message message = parse_head(input_.substr(0, end));
    input_.erase(0, end + 4);
    if (message.header("transfer-encoding") == "chunked") {
      return read_chunks(message) ? std::optional(message) : std::nullopt;
    }
    const std::string length = message.header("content-length");
    const std::size_t size = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    if (!fill(size)) {
      return std::nullopt;
    }
    message.body = input_.substr(0, size);
    input_.erase(0, size);
    return message;
  }

  /// Whether the last call ended because the time had passed.
  [[nodiscard]] bool timed_out() const noexcept { return timed_out_; }

 private:
  bool receive() {
    const auto left = std::chrono::duration_cast<milliseconds>(until_ - steady::now()).count();
    pollfd waiting{connection_.get(), POLLIN, 0};
    timed_out_ = left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0;
    if (timed_out_) {
      return false;
    }
    std::vector<char> bytes(65'536);
    const ssize_t size = ::recv(connection_.get(), bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      return false;
    }
    input_.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
  }

  bool fill(std::size_t size) {
    while (input_.size() < size) {
      if (!receive()) {
        return false;
      }
    }
    return true;
  }

  bool read_chunks(http_message& message) {
    for (;;) {
      std::size_t end = std::string::npos;
      while ((end = input_.find("\r\n")) == std::string::npos) {
        if (!receive()) {
          return false;
        }
      }
      const std::size_t size = std::strtoull(input_.c_str(), nullptr, 16);
      if (!fill(end + 2 + size + 2)) {
        return false;
      }
      message.body += input_.substr(end + 2, size);
      input_.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  static http_message parse_head(const std::string& head) {
    http_message message;
    std::size_t begin = 0;
    while (begin <= head.size()) {
      const std::size_t end = std::min(head.find("\r\n", begin), head.size());
      const std::string line = head.substr(begin, end - begin);
      const std::size_t colon = line.find(':');
      if (begin == 0) {
        message.start = line;
      } else if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? std::string() : line.substr(value);
      }
      begin = end + 2;
    }
    return message;
  }

  const socket_handle& connection_;
  std::string input_;
  steady::time_point until_;
  bool timed_out_ = false;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

inline std::string write_message(const std::string& start, const header_list& headers,
                                 const std::string& body) {
  std::string text = start + "\r\n";
  for (const auto& [name, value] : headers) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string json_response(int status, const json& document) {
  return write_message("HTTP/1.1 " + std::to_string(status) + " -",
                       {{"Content-Type", "application/json"}}, document.dump());
}

/// How a request ended for its client: a status, or 0 if the connection ended or the time passed.
struct call_result {
  int status = 0;
  http_message response;
  std::string end;  ///< "answered", "closed" or "timed out".
};

/// Sends one request over a new connection.
inline call_result call(std::uint16_t port, const std::string& method, const std::string& target,
                        const header_list& headers, const std::string& body,
                        std::int64_t timeout_ms) {
  const socket_handle connection = connect_to(port);
  header_list all = {{"Host", "mesh.example"}};
  all.insert(all.end(), headers.begin(), headers.end());
  if (!connection.valid() ||
      !send_all(connection, write_message(method + " " + target + " HTTP/1.1", all, body))) {
    return {0, {}, "closed"};
  }
  message_reader reader(connection);
  const std::optional<http_message> response = reader.read(timeout_ms);
  if (!response.has_value()) {
    return {0, {}, reader.timed_out() ? "timed out" : "closed"};
  }
  return {std::atoi(response->word(1).c_str()), *response, "answered"};
}

/// Accepts connections, each in a thread of its own, until it is destroyed.
class tcp_service {
 public:
  using session = std::function<void(const socket_handle&)>;

  tcp_service(std::uint16_t port, session serve)
      : listener_(listen_on(port)), port_(port_of(listener_)), serve_(std::move(serve)) {
    acceptor_ = std::thread([this] { accept_all(); });
  }
  ~tcp_service() { stop(); }
  tcp_service(const tcp_service&) = delete;
  tcp_service& operator=(const tcp_service&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

  /// Closes the listener and all connections.
  void stop() {
    if (stopped_.exchange(true)) {
      return;
    }
    ::shutdown(listener_.get(), SHUT_RDWR);
    acceptor_.join();
    listener_.close();
    {
      const std::lock_guard lock(mutex_);
      for (const int descriptor : open_) {
        ::shutdown(descriptor, SHUT_RDWR);
      }
    }
    for (std::thread& thread : sessions_) {
      thread.join();
    }
  }

 private:
  void accept_all() {
    for (;;) {
      socket_handle accepted(::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
      if (!accepted.valid()) {
        return;
      }
      const int on = 1;
      ::setsockopt(accepted.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard lock(mutex_);
      open_.insert(accepted.get());
      sessions_.emplace_back([this, connection = std::move(accepted)]() mutable {
        serve_(connection);
        const std::lock_guard closing(mutex_);
        open_.erase(connection.get());
        connection.close();
      });
    }
  }

  socket_handle listener_;
  std::uint16_t port_;
  session serve_;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> sessions_;
  std::thread acceptor_;
};

// ---------------------------------------------------------------------------------------------
// The platform's store.

class store_stand_in {
 public:
  store_stand_in() : service_(free_port(), [this](const socket_handle& c) { serve(c, 0); }) {}

  [[nodiscard]] std::uint16_t port() const noexcept { return service_.port(); }

  ~store_stand_in() {
    const std::lock_guard lock(mutex_);
    ended_ = true;
    changed_.notify_all();
  }
  store_stand_in(const store_stand_in&) = delete;
  store_stand_in& operator=(const store_stand_in&) = delete;

  /// A further port of the same store, by which one machine is told from the others. Returns the
  /// number of the machine, from 1, and the port.
  std::pair<std::size_t, std::uint16_t> add_machine() {
    const std::size_t number = machine_ports_.size() + 1;
    machine_ports_.push_back(std::make_unique<tcp_service>(
        free_port(), [this, number](const socket_handle& c) { serve(c, number); }));
    return {number, machine_ports_.back()->port()};
  }

  /// Machines that watch the configuration now.
  std::set<std::size_t> watching_machines() {
    const std::lock_guard lock(mutex_);
    std::set<std::size_t> watching;
    for (const auto& [machine, watches] : watches_) {
      if (watches > 0) {
        watching.insert(machine);
      }
    }
    return watching;
  }

  /// Turns these machines away with 503 until it is called again; their watches end at once.
  void turn_away(std::set<std::size_t> machines) {
    const std::lock_guard lock(mutex_);
    turned_away_ = std::move(machines);
    changed_.notify_all();
  }

  /// From now on the answer 409 to the creation of an object that exists does not hold the object.
  void answer_conflicts_briefly() { brief_conflicts_ = true; }

  /// The specification of an object, or null if there is none.
  json specification(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto found = kinds_[kind].find(name);
    return found == kinds_[kind].end() ? json() : found->second["spec"];
  }

  /// Writes an object as the operator does.
  void write(const std::string& kind, const std::string& name, const json& spec) {
    const std::lock_guard lock(mutex_);
    put(kind, name, spec);
  }

 private:
  static constexpr std::int64_t answer_ms = 4;
  static constexpr std::int64_t idle_ms = 120'000;

  static std::pair<int, json> unavailable() { return {503, {{"error", "busy"}}}; }

  void serve(const socket_handle& connection, std::size_t machine) {
    message_reader reader(connection);
    while (const auto request = reader.read(idle_ms)) {
      const auto [status, document] = handle(*request, machine);
      if (!send_all(connection, json_response(status, document))) {
        return;
      }
    }
  }

  std::pair<int, json> handle(const http_message& request, std::size_t machine) {
    const std::string target = request.word(1);
    const std::string path = target.substr(0, target.find('?'));
    const std::map<std::string, std::string> query = parse_query(target);
    std::vector<std::string> parts = split_path(path);
    if (parts.size() < 2 || parts[0] != "objects") {
      return {404, {{"error", "no such path"}}};
    }
    const std::string kind = parts[1];
    const std::string name = parts.size() > 2 ? decode_percent(parts[2]) : std::string();
    const std::string method = request.word(0);
    if (method == "GET" && name.empty() && query.contains("watch")) {
      return watch(kind, query, machine);
    }
    sleep_ms(answer_ms);
    const std::lock_guard lock(mutex_);
    if (turned_away_.contains(machine)) {
      return unavailable();
    }
    if (method == "GET") {
      return name.empty() ? list(kind, query) : read(kind, name);
    }
    if (method == "DELETE") {
      return remove(kind, name);
    }
    const json body = json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
      return {400, {{"error", "unreadable"}}};
    }
    if (method == "POST") {
      const std::string created = body.at("metadata").at("name");
      if (kinds_[kind].contains(created)) {
        return {409,
                brief_conflicts_ ? json{{"error", "the object exists"}} : kinds_[kind][created]};
      }
      return {201, put(kind, created, body.at("spec"))};
    }
    return replace(kind, name, parts.size() > 3, body);
  }

  std::pair<int, json> read(const std::string& kind, const std::string& name) {
    const auto found = kinds_[kind].find(name);
    return found == kinds_[kind].end() ? std::pair<int, json>{404, {{"error", "none"}}}
                                       : std::pair<int, json>{200, found->second};
  }

  std::pair<int, json> list(const std::string& kind,
                            const std::map<std::string, std::string>& query) {
    const auto after = query.find("after");
    json items = json::array();
    for (const auto& [name, object] : kinds_[kind]) {
      if (after == query.end() || name > after->second) {
        items.push_back(object);
      }
    }
    return {200, {{"items", items}, {"truncated", false}, {"storeRevision", revision_}}};
  }

  std::pair<int, json> remove(const std::string& kind, const std::string& name) {
    const auto found = kinds_[kind].find(name);
    if (found == kinds_[kind].end()) {
      return {404, {{"error", "none"}}};
    }
    const json object = found->second;
    kinds_[kind].erase(found);
    add_event(kind, object, true);
    return {200, object};
  }

  std::pair<int, json> replace(const std::string& kind, const std::string& name, bool status,
                               const json& body) {
    const auto found = kinds_[kind].find(name);
    if (found == kinds_[kind].end()) {
      return {404, {{"error", "none"}}};
    }
    const json& metadata = body.contains("metadata") ? body["metadata"] : json::object();
    if (metadata.contains("revision") &&
        metadata["revision"] != found->second["metadata"]["revision"]) {
      return {409, found->second};
    }
    if (status) {
      found->second["status"] = body.value("status", json::object());
      add_event(kind, found->second, false);
      return {200, found->second};
    }
    if (found->second["spec"] == body["spec"]) {
      return {200, found->second};
    }
    return {200, put(kind, name, body["spec"])};
  }

  json put(const std::string& kind, const std::string& name, const json& spec) {
    json& object = kinds_[kind][name];
    if (object.is_null()) {
      object = {{"metadata",
                 {{"name", name},
                  {"created", unix_ms()},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"status", json::object()}};
    }
    object["spec"] = spec;
    add_event(kind, object, false);
    return object;
  }

  void add_event(const std::string& kind, json object, bool deleted) {
    ++revision_;
    object["metadata"]["revision"] = revision_;
    if (!deleted) {
      kinds_[kind][object["metadata"]["name"]] = object;
    }
    events_.push_back({revision_, kind, {{"object", object}, {"deleted", deleted}}});
    changed_.notify_all();
  }

  std::pair<int, json> watch(const std::string& kind,
                             const std::map<std::string, std::string>& query, std::size_t machine) {
    const std::uint64_t since = std::strtoull(query.at("watch").c_str(), nullptr, 10);
    const auto wait = query.find("waitMs");
    const std::int64_t wait_ms = wait == query.end() ? 0 : std::atoll(wait->second.c_str());
    const steady::time_point until = steady::now() + milliseconds(wait_ms);
    std::unique_lock lock(mutex_);
    std::pair<int, json> answer = {0, json()};
    ++watches_[machine];
    while (answer.first == 0) {
      json events = json::array();
      for (const event& entry : events_) {
        if (entry.revision > since && entry.kind == kind) {
          events.push_back(entry.content);
        }
      }
      if (turned_away_.contains(machine)) {
        answer = unavailable();
      } else if (!events.empty() || ended_ || steady::now() >= until) {
        answer = {200, {{"events", events}, {"storeRevision", revision_}}};
      } else {
        changed_.wait_until(lock, until);
      }
    }
    --watches_[machine];
    return answer;
  }

  static std::vector<std::string> split_path(const std::string& path) {
    std::vector<std::string> parts;
    std::size_t begin = 1;
    while (begin <= path.size()) {
      const std::size_t end = std::min(path.find('/', begin), path.size());
      parts.push_back(path.substr(begin, end - begin));
      begin = end + 1;
    }
    return parts;
  }

  static std::map<std::string, std::string> parse_query(const std::string& target) {
    std::map<std::string, std::string> result;
    std::size_t begin = target.find('?');
    while (begin != std::string::npos && begin < target.size()) {
      const std::size_t end = target.find('&', begin + 1);
      const std::string pair =
          target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
      const std::size_t equals = pair.find('=');
      if (equals != std::string::npos) {
        result[pair.substr(0, equals)] = decode_percent(pair.substr(equals + 1));
      }
      begin = end;
    }
    return result;
  }

  static std::string decode_percent(const std::string& text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        decoded += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        decoded += text[i];
      }
    }
    return decoded;
  }

  struct event {
    std::uint64_t revision;
    std::string kind;
    json content;
  };

  std::atomic<bool> brief_conflicts_ = false;
  bool ended_ = false;
  std::map<std::size_t, int> watches_;
  std::set<std::size_t> turned_away_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 10;
  std::map<std::string, std::map<std::string, json>> kinds_;
  std::vector<event> events_;
  tcp_service service_;
  std::vector<std::unique_ptr<tcp_service>> machine_ports_;
};

// ---------------------------------------------------------------------------------------------
// A machine: a sidecar process and the upstream beside it.

struct machine_options {
  std::string name;
  std::string zone;
  std::string service;
  std::uint16_t store_port = 0;
  std::int64_t work_ms = 30;
  int memory_mb = 110;
  int grace_s = 6;
  std::int64_t restart_ms = 300;     ///< From the end of the sidecar until it is started again.
  std::int64_t clock_offset_ms = 0;  ///< Of the machine's time of day when the upstream starts.
};

/// The processes of one machine. The sidecar is restarted when it ends, as the platform does.
class machine {
 public:
  machine(machine_options options, record& log, std::string program, const std::string& folder)
      : options_(std::move(options)),
        log_(log),
        program_(std::move(program)),
        settings_path_(folder + "/" + options_.name + ".json"),
        output_path_(folder + "/" + options_.name + ".log"),
        upstream_port_(free_port()) {
    start_upstream(options_.clock_offset_ms);
    write_settings();
    start();
    supervisor_ = std::thread([this] { supervise(); });
    heartbeats_ = std::thread([this] { send_heartbeats(); });
  }
  ~machine() {
    ended_ = true;
    supervisor_.join();
    heartbeats_.join();
    const std::lock_guard lock(process_mutex_);
    if (process_ > 0) {
      ::kill(process_, SIGCONT);
      ::kill(process_, SIGKILL);
      ::waitpid(process_, nullptr, 0);
    }
  }
  machine(const machine&) = delete;
  machine& operator=(const machine&) = delete;

  [[nodiscard]] const machine_options& options() const noexcept { return options_; }
  [[nodiscard]] const std::string& upstream_id() const noexcept { return id_; }
  [[nodiscard]] std::uint16_t outbound() const noexcept { return outbound_; }
  [[nodiscard]] std::uint16_t control() const noexcept { return control_; }
  [[nodiscard]] std::string upstream_address() const { return endpoint(upstream_port_); }
  [[nodiscard]] bool ready() const {
    return call(ready_, "GET", "/readyz", {}, "", 1000).status == 200;
  }

  /// Id of the sidecar's process, or -1 while there is none.
  [[nodiscard]] pid_t pid() {
    const std::lock_guard lock(process_mutex_);
    return process_;
  }

  void signal(int number) {
    const std::lock_guard lock(process_mutex_);
    if (process_ > 0) {
      ::kill(process_, number);
    }
  }

  /// Ends the process of the upstream and starts it again under the same id, while the time of day
  /// of its machine is off by `clock_offset_ms`.
  void restart_upstream(std::int64_t clock_offset_ms) {
    upstream_.reset();
    log_.line("upstream " + id_ + " ended");
    sleep_ms(upstream_restart_ms);
    start_upstream(clock_offset_ms);
  }

  /// From now on the heartbeats say that the upstream is draining.
  void leave() {
    leaving_since_ = elapsed_ms();
    log_.line("upstream " + id_ + " begins to say that it leaves");
    leaving_ = true;
  }
  /// Sends a DELETE, as an upstream does that never reports `draining`, and no more heartbeats.
  /// Returns whether it was acknowledged.
  bool withdraw() {
    withdrawn_ = true;
    last_heartbeat_ = heartbeat(false);
    const call_result result =
        call(control_, "DELETE", "/instances/" + id_, {{"Content-Type", "application/json"}},
             json{{"born", born_.load()}}.dump(), heartbeat_timeout_ms);
    log_.line("upstream " + id_ + " sends DELETE: " +
              (result.status == 0 ? result.end : std::to_string(result.status)));
    return result.status >= 200 && result.status < 300;
  }

  /// The heartbeat that the upstream sent just before the DELETE arrives only now.
  void deliver_late_heartbeat() {
    const call_result result = send_heartbeat(last_heartbeat_);
    log_.line("heartbeat of upstream " + id_ + " from before the DELETE arrives late: " +
              (result.status == 0 ? result.end : std::to_string(result.status)));
  }

  [[nodiscard]] std::int64_t leaving_since() const noexcept { return leaving_since_; }
  /// When the leaving was acknowledged, or -1.
  [[nodiscard]] std::int64_t leave_acknowledged() const noexcept { return acknowledged_; }
  /// When the upstream began to run its last request, or -1.
  [[nodiscard]] std::int64_t last_run() const noexcept { return last_run_; }
  /// How often the sidecar has ended without a signal of the test.
  [[nodiscard]] int own_ends() const noexcept { return own_ends_; }

 private:
  static constexpr std::int64_t heartbeat_ms = 1500;
  static constexpr std::int64_t heartbeat_timeout_ms = 1000;
  static constexpr std::int64_t upstream_restart_ms = 100;
  static constexpr std::int64_t retry_ms = 100;
  static constexpr std::int64_t idle_ms = 120'000;

  static std::string endpoint(std::uint16_t port) {
    return std::string(loopback) + ":" + std::to_string(port);
  }

  /// The template of the deploy file, filled in for a small deployment.
  void write_settings() {
    const json settings = {
        {"instance", {{"name", options_.name}, {"domain", options_.zone}, {"region", "region-a"}}},
        {"listen",
         {{"callers", endpoint(outbound_)},
          {"readiness", endpoint(ready_)},
          {"registration", endpoint(control_)},
          {"peers", endpoint(peers_)},
          {"metrics", endpoint(metrics_)}}},
        {"target", {{"endpoint", upstream_address()}, {"service", options_.service}}},
        {"store", endpoint(options_.store_port)},
        {"limits", {{"memory_mb", options_.memory_mb}, {"descriptors", 4100}}},
        {"bounds",
         {{"configuration_apply_ms", 2000},
          {"drain_ms", 2000},
          {"stop_s", options_.grace_s},
          {"retry_ratio", 0.2},
          {"retry_slack", 56},
          {"retry_window_s", 10}}}};
    std::ofstream(settings_path_) << settings.dump(2) << "\n";
  }

  void start() {
    const std::lock_guard lock(process_mutex_);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, output_path_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    std::string option = "--settings";
    std::vector<char*> arguments = {program_.data(), option.data(), settings_path_.data(), nullptr};
    if (::posix_spawn(&process_, program_.c_str(), &actions, nullptr, arguments.data(), environ) !=
        0) {
      process_ = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    log_.line("sidecar " + options_.name + " started");
  }

  void start_upstream(std::int64_t clock_offset_ms) {
    born_ = unix_ms() + clock_offset_ms;
    sequence_ = 0;
    upstream_ =
        std::make_unique<tcp_service>(upstream_port_, [this](const socket_handle& c) { serve(c); });
    log_.line("upstream " + id_ + " started, born " + std::to_string(born_));
  }

  void supervise() {
    while (!ended_) {
      sleep_ms(10);
      int status = 0;
      {
        const std::lock_guard lock(process_mutex_);
        if (process_ <= 0 || ::waitpid(process_, &status, WNOHANG) != process_) {
          continue;
        }
        process_ = -1;
      }
      const bool by_signal = WIFSIGNALED(status);
      const int number = by_signal ? WTERMSIG(status) : 0;
      const bool by_test = by_signal && number == SIGKILL;
      own_ends_ += by_test ? 0 : 1;
      log_.line("sidecar " + options_.name + " ended " +
                (by_signal ? "by signal " + std::to_string(number)
                           : "with exit code " + std::to_string(WEXITSTATUS(status))));
      sleep_ms(options_.restart_ms);
      if (!ended_) {
        start();
      }
    }
  }

  std::string heartbeat(bool leaving) {
    return json{{"service", options_.service},
                {"address", upstream_address()},
                {"zone", options_.zone},
                {"version", "v1"},
                {"capacity", 9},
                {"state", leaving ? "draining" : "ready"},
                {"warmupLeftMs", 0},
                {"sequence", ++sequence_},
                {"born", born_.load()}}
        .dump();
  }

  [[nodiscard]] call_result send_heartbeat(const std::string& body) const {
    return call(control_, "PUT", "/instances/" + id_, {{"Content-Type", "application/json"}}, body,
                heartbeat_timeout_ms);
  }

  void send_heartbeats() {
    while (!ended_ && !withdrawn_) {
      const bool leaving = leaving_;
      const call_result result = send_heartbeat(heartbeat(leaving));
      const bool acknowledged = result.status >= 200 && result.status < 300;
      if (leaving) {
        log_.line("upstream " + id_ + " said that it leaves: " +
                  (result.status == 0 ? result.end : std::to_string(result.status)));
        if (acknowledged && acknowledged_ < 0) {
          acknowledged_ = elapsed_ms();
        }
      }
      const std::int64_t pause_ms = result.status == 0 ? retry_ms : heartbeat_ms;
      for (std::int64_t waited = 0;
           waited < pause_ms && !ended_ && !withdrawn_ && leaving == leaving_; waited += 20) {
        sleep_ms(20);
      }
    }
  }

  void serve(const socket_handle& connection) {
    message_reader reader(connection);
    while (const auto request = reader.read(idle_ms)) {
      if (!send_all(connection, respond(*request))) {
        return;
      }
    }
  }

  std::string respond(const http_message& request) {
    if (request.word(1) == "/healthz") {
      return write_message(leaving_ || withdrawn_ ? "HTTP/1.1 503 -" : "HTTP/1.1 200 -",
                           {{"X-Instance-Id", id_}}, "");
    }
    const std::string attempt = request.header("x-attempt-id");
    const std::string expected = request.header("x-expect-instance");
    if (!expected.empty() && expected != id_) {
      return write_message("HTTP/1.1 421 -", {{"X-Attempt-Id", attempt}, {"X-Not-Executed", "1"}},
                           "");
    }
    log_.line("upstream " + id_ + " of " + options_.service + " runs " + attempt + " " +
              request.word(0) + " " + request.word(1));
    last_run_ = elapsed_ms();
    sleep_ms(options_.work_ms);
    return write_message("HTTP/1.1 200 OK",
                         {{"X-Attempt-Id", attempt},
                          {"X-Response-Seal", "seal-" + attempt},
                          {"X-Ran-At", options_.service}},
                         "result of " + attempt);
  }

  machine_options options_;
  record& log_;
  std::string program_;
  std::string settings_path_;
  std::string output_path_;
  std::string id_ = "i-" + random_id().substr(0, 8);
  std::uint16_t outbound_ = free_port();
  std::uint16_t ready_ = free_port();
  std::uint16_t control_ = free_port();
  std::uint16_t peers_ = free_port();
  std::uint16_t metrics_ = free_port();
  std::atomic<std::int64_t> born_ = 0;
  std::atomic<std::int64_t> sequence_ = 0;
  std::atomic<bool> leaving_ = false;
  std::atomic<bool> withdrawn_ = false;
  std::string last_heartbeat_;
  std::atomic<bool> ended_ = false;
  std::atomic<std::int64_t> leaving_since_ = -1;
  std::atomic<std::int64_t> acknowledged_ = -1;
  std::atomic<std::int64_t> last_run_ = -1;
  std::atomic<int> own_ends_ = 0;
  std::mutex process_mutex_;
  pid_t process_ = -1;
  std::uint16_t upstream_port_;
  std::unique_ptr<tcp_service> upstream_;
  std::thread supervisor_;
  std::thread heartbeats_;
};

// ---------------------------------------------------------------------------------------------
// The whole deployment.

inline json route(const std::string& name, const std::string& prefix, const std::string& service,
                  const std::string& kind) {
  return {{"name", name},           {"host", "mesh.example"},
          {"pathPrefix", prefix},   {"service", service},
          {"routeType", kind},      {"timeoutMs", 2000},
          {"targetLatencyMs", 250}, {"attempts", kind == "safe" ? 3 : 2},
          {"priority", 1}};
}

inline json configuration(std::uint64_t version, const json& routes,
                          const std::vector<std::string>& services) {
  json listed = json::array();
  for (const std::string& service : services) {
    listed.push_back({{"name", service}, {"healthPath", "/healthz"}, {"maxConnections", 110}});
  }
  return {{"version", version},
          {"routes", routes},
          {"services", listed},
          {"limits",
           {{"maxHeaderBytes", 16'384},
            {"maxBodyBytes", 1'000'000},
            {"headerTimeoutMs", 5000},
            {"idleTimeoutMs", 10'000}}}};
}

using machine_list = std::vector<std::unique_ptr<machine>>;

/// Waits until all machines are ready; returns false if they are not in time.
inline bool await_ready(const machine_list& machines, std::int64_t limit_ms) {
  const std::int64_t until = elapsed_ms() + limit_ms;
  while (elapsed_ms() < until) {
    if (std::all_of(machines.begin(), machines.end(), [](const auto& m) { return m->ready(); })) {
      return true;
    }
    sleep_ms(100);
  }
  return false;
}

/// A folder for settings and logs that is removed at the end.
class temporary_folder {
 public:
  temporary_folder() {
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
      throw std::runtime_error("cannot create a temporary folder");
    }
    path_ = name;
  }
  ~temporary_folder() {
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(path_, ignored);
    }
  }
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;

  [[nodiscard]] const std::string& path() const noexcept { return path_; }

 private:
  std::string path_;
};

inline bool with_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

enum exit_code { held = 0, broken = 1, cannot_run = 2 };

}  // namespace review

#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sstream>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

constexpr std::size_t read_size = 65'536;
constexpr int backlog = 256;

sockaddr_in socket_address(const endpoint& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

void set_no_delay(int descriptor) {
  const int enabled = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

/// Splits off the next line, without its end.
std::string next_line(const std::string& text, std::size_t& position) {
  const std::size_t end = text.find("\r\n", position);
  std::string line = text.substr(position, end - position);
  position = end == std::string::npos ? text.size() : end + 2;
  return line;
}

void parse_head(const std::string& head, http_message& message) {
  std::size_t position = 0;
  message = {};
  message.first_line = next_line(head, position);
  while (position < head.size()) {
    const std::string line = next_line(head, position);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers[line.substr(0, colon)] =
        value == std::string::npos ? std::string() : line.substr(value);
  }
}

std::string message_text(const std::string& first_line,
                         const std::map<std::string, std::string>& headers,
                         const std::string& body) {
  std::string text = first_line + "\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return text.append(body);
}

}  // namespace

bool header_less::operator()(const std::string& left, const std::string& right) const {
  return strcasecmp(left.c_str(), right.c_str()) < 0;
}

std::string http_message::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

std::string http_message::word(std::size_t index) const {
  std::istringstream words(first_line);
  std::string result;
  for (std::size_t read = 0; read <= index; ++read) {
    if (!(words >> result)) {
      return {};
    }
  }
  return result;
}

int http_message::status() const {
  return first_line.starts_with("HTTP/") ? std::stoi("0" + word(1)) : 0;
}

connection::~connection() {
  ::close(descriptor_);
}

std::unique_ptr<connection> connection::open(const endpoint& remote, const link_options& link) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto result = std::make_unique<connection>(descriptor);
  if (link.segment_bytes > 0) {
    setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &link.segment_bytes, sizeof(int));
  }
  if (link.receive_buffer_bytes > 0) {
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &link.receive_buffer_bytes, sizeof(int));
  }
  const sockaddr_in address = socket_address(remote);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    return nullptr;
  }
  set_no_delay(descriptor);
  return result;
}

void connection::set_read_timeout(milliseconds timeout) const {
  const timeval limit{timeout.count() / 1'000, timeout.count() % 1'000 * 1'000};
  setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

bool connection::write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t written = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (written <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

std::ptrdiff_t connection::read_some(std::string& bytes, std::size_t limit) const {
  bytes.resize(limit);
  const ssize_t size = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
  bytes.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  return size;
}

bool connection::read(http_message& message) {
  std::string bytes;
  std::size_t head_end = buffer_.find("\r\n\r\n");
  while (head_end == std::string::npos) {
    if (read_some(bytes, read_size) <= 0) {
      return false;
    }
    buffer_ += bytes;
    head_end = buffer_.find("\r\n\r\n");
  }
  parse_head(buffer_.substr(0, head_end), message);
  const std::string length_text = message.header("Content-Length");
  const std::size_t length = length_text.empty() ? 0 : std::stoul(length_text);
  const std::size_t body_begin = head_end + 4;
  while (buffer_.size() < body_begin + length) {
    if (read_some(bytes, read_size) <= 0) {
      return false;
    }
    buffer_ += bytes;
  }
  message.body = buffer_.substr(body_begin, length);
  buffer_.erase(0, body_begin + length);
  return true;
}

void connection::shut_down() const {
  ::shutdown(descriptor_, SHUT_RDWR);
}

std::string request_text(const std::string& method, const std::string& path,
                         const std::map<std::string, std::string>& headers,
                         const std::string& body) {
  return message_text(method + " " + path + " HTTP/1.1", headers, body);
}

std::string response_text(int status, const std::map<std::string, std::string>& headers,
                          const std::string& body) {
  return message_text("HTTP/1.1 " + std::to_string(status) + " Status", headers, body);
}

http_message exchange(const endpoint& remote, const std::string& request, milliseconds timeout) {
  http_message response;
  const std::unique_ptr<connection> link = connection::open(remote);
  if (link == nullptr) {
    return response;
  }
  link->set_read_timeout(timeout);
  if (!link->write(request) || !link->read(response)) {
    response = {};
  }
  return response;
}

http_server::http_server(const endpoint& local, handler answer) : answer_(std::move(answer)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const sockaddr_in address = socket_address(local);
  if (::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(listener_, backlog) != 0) {
    ::close(listener_);
    throw std::runtime_error("cannot listen on " + local.text());
  }
  accepting_ = std::thread([this] { accept_connections(); });
}

http_server::~http_server() {
  stop();
}

void http_server::stop() {
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(stopped_, true)) {
      return;
    }
    for (const auto& client : open_) {
      client->shut_down();
    }
  }
  ::shutdown(listener_, SHUT_RDWR);
  accepting_.join();
  ::close(listener_);
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void http_server::accept_connections() {
  for (;;) {
    const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      return;
    }
    set_no_delay(descriptor);
    const auto client = std::make_shared<connection>(descriptor);
    const std::lock_guard lock(mutex_);
    if (stopped_) {
      return;
    }
    open_.insert(client);
    threads_.emplace_back([this, client] { serve(client); });
  }
}

void http_server::serve(const std::shared_ptr<connection>& client) {
  http_message request;
  while (client->read(request)) {
    const reply response = answer_(request);
    if (response.text.empty() || !client->write(response.text)) {
      break;
    }
    const std::string endless(response.without_end ? read_size : 0, 'e');
    while (response.without_end && client->write(endless)) {
    }
  }
  client->shut_down();
  const std::lock_guard lock(mutex_);
  open_.erase(client);
}

}  // namespace review

#include "transport/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "loop_client.h"
#include "raw_connection.h"
#include "scripted_server.h"
#include "transport/tcp_listener.h"

namespace crocusdoor {

namespace {

constexpr std::size_t size_limit = 10'000;
/// Upper bound for the bytes that the server writes. Bytes in the buffers of the kernel and of
/// libevent count as written although the client has not read them.
constexpr std::size_t written_limit = 16'000'000;
/// Bytes after which a flooding server gives up.
constexpr std::size_t flood_limit = 512'000'000;
/// Bytes that wait in the kernel before the loop runs: enough for more turns than the limit.
constexpr std::size_t flood_head_start = 500'000;
/// libevent reads up to 16 KB in a turn, so the limit on sizes is exceeded in the first few turns.
constexpr int flood_turns_limit = 10;

/// A server that responds with some bytes and then repeats others until the client closes.
class endless_server {
 public:
  endless_server(event_loop& loop, std::string first, std::string repeated)
      : loop_(loop),
        first_(std::move(first)),
        repeated_(std::move(repeated)),
        listener_(loop, {"127.0.0.1", 0},
                  [this](std::intptr_t descriptor) { accept(descriptor); }) {}
  ~endless_server() { close(); }
  endless_server(const endless_server&) = delete;
  endless_server& operator=(const endless_server&) = delete;

  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] std::size_t written() const { return written_; }

 private:
  void accept(std::intptr_t descriptor) {
    stream_ = bufferevent_socket_new(loop_.base(), static_cast<evutil_socket_t>(descriptor),
                                     BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(stream_, &endless_server::on_read, &endless_server::on_drained,
                      &endless_server::on_event, this);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
  }

  void write(const std::string& bytes) {
    written_ += bytes.size();
    bufferevent_write(stream_, bytes.data(), bytes.size());
  }

  void close() {
    closed_ = true;
    if (stream_ != nullptr) {
      bufferevent_free(stream_);
      stream_ = nullptr;
    }
  }

  static void on_read(bufferevent* stream, void* context) {
    auto& self = *static_cast<endless_server*>(context);
    evbuffer_drain(bufferevent_get_input(stream),
                   evbuffer_get_length(bufferevent_get_input(stream)));
    if (self.written_ == 0) {
      self.write(self.first_);
    }
  }

  static void on_drained(bufferevent*, void* context) {
    auto& self = *static_cast<endless_server*>(context);
    if (self.written_ > 0 && self.written_ < written_limit) {
      self.write(self.repeated_);
    }
  }

  static void on_event(bufferevent*, short what, void* context) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      static_cast<endless_server*>(context)->close();
    }
  }

  event_loop& loop_;
  std::string first_;
  std::string repeated_;
  tcp_listener listener_;
  bufferevent* stream_ = nullptr;
  std::size_t written_ = 0;
  bool closed_ = false;
};

/// A server on a thread of its own, so that bytes are there in each turn of the client's loop. It
/// responds to each connection with some bytes and then repeats others until the client closes.
class flooding_server {
 public:
  flooding_server(std::string first, std::string repeated)
      : first_(std::move(first)),
        repeated_(std::move(repeated)),
        listening_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(listening_, reinterpret_cast<sockaddr*>(&local), sizeof(local)) == 0);
    REQUIRE(::listen(listening_, 1) == 0);
    socklen_t length = sizeof(local);
    ::getsockname(listening_, reinterpret_cast<sockaddr*>(&local), &length);
    port_ = ntohs(local.sin_port);
    thread_ = std::thread([this] { serve(); });
  }
  ~flooding_server() {
    ::shutdown(listening_, SHUT_RDWR);
    thread_.join();
    ::close(listening_);
  }
  flooding_server(const flooding_server&) = delete;
  flooding_server& operator=(const flooding_server&) = delete;

  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] std::size_t written() const { return written_; }
  [[nodiscard]] bool closed() const { return closed_; }

 private:
  void serve() {
    const int connection = ::accept(listening_, nullptr, nullptr);
    char request = 0;
    if (connection < 0 || ::recv(connection, &request, 1, 0) <= 0) {
      return;
    }
    for (bool open = write(connection, first_); open && written_ < flood_limit;) {
      open = write(connection, repeated_);
    }
    ::close(connection);
    closed_ = true;
  }

  bool write(int connection, const std::string& bytes) {
    const ssize_t sent = ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    written_ += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    return sent > 0;
  }

  std::string first_;
  std::string repeated_;
  int listening_;
  std::uint16_t port_ = 0;
  std::atomic<std::size_t> written_ = 0;
  std::atomic<bool> closed_ = false;
  std::thread thread_;
};

std::string repeat(const std::string& text, int times) {
  std::string result;
  for (int i = 0; i < times; ++i) {
    result += text;
  }
  return result;
}

}  // namespace

TEST_CASE("a response that is truncated at any byte is not accepted", "[P4]") {
  // Failure guarded against: the end of a connection within the response headers was taken for the
  // end of a response without a stated length.
  const bool reset = GENERATE(false, true);
  const std::string interim = GENERATE("", "HTTP/1.1 100 Continue\r\n\r\n");
  const std::string length = GENERATE("", "Content-Length: 4\r\n");
  const std::string head = interim + "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n" + length + "\r\n";
  const std::string response = head + "body";
  INFO((reset ? "reset" : "end") << " of " << response);
  event_loop loop;
  std::size_t cut = 0;
  scripted_server server(loop, 0, [&](scripted_server::connection& connection, const std::string&) {
    connection.write(response.substr(0, cut));
    if (reset) {
      connection.reset();
    } else {
      connection.close();
    }
  });
  for (cut = 0; cut <= response.size(); ++cut) {
    loop_client client(loop, server.port());
    const http_result result = client.send("GET", "/");
    const bool has_end = !length.empty() || !reset;
    const bool complete = length.empty() ? cut >= head.size() : cut == response.size();
    INFO("cut after " << cut << " bytes");
    if (!complete) {
      CHECK(result.outcome != http_outcome::answered);
    } else if (has_end && !reset) {
      CHECK(result.outcome == http_outcome::answered);
      CHECK(result.response.body == response.substr(head.size(), cut - head.size()));
    } else if (length.empty()) {
      // Without a length, only an orderly close proves that the response is complete.
      CHECK(result.outcome != http_outcome::answered);
    }
  }
}

TEST_CASE("a client tells how long one of its connections has been open", "[F6]") {
  event_loop loop;
  std::vector<scripted_server::connection*> accepted;
  scripted_server server(loop, 0, [&](scripted_server::connection& stream, const std::string&) {
    accepted.push_back(&stream);
    stream.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  http_client client(loop, {"127.0.0.1", server.port()}, {});
  CHECK_FALSE(client.oldest_connection().has_value());
  const time_point begin = loop.now();
  client.send({"GET", "/", {}, {}}, std::chrono::seconds(10),
              [&](const http_result&) { loop.stop(); });
  loop.run();
  REQUIRE(client.oldest_connection().has_value());
  CHECK(*client.oldest_connection() >= begin);

  SECTION("until the server closes it, also before the client has handled that") {
    accepted.at(0)->shut_down();
    CHECK_FALSE(client.oldest_connection().has_value());
  }
  SECTION("until unread bytes may hide its end") {
    accepted.at(0)->write("x");
    CHECK_FALSE(client.oldest_connection().has_value());
  }
}

TEST_CASE("a response cut off by a reset is not complete whenever its connection is looked at",
          "[P4]") {
  event_loop loop;
  scripted_server::connection* accepted = nullptr;
  scripted_server server(loop, 0, [&](scripted_server::connection& stream, const std::string&) {
    accepted = &stream;
    stream.write("HTTP/1.1 200 OK\r\n\r\npart of a body that ends with its connection");
  });
  http_client client(loop, {"127.0.0.1", server.port()}, {});
  std::optional<http_outcome> outcome;
  client.send({"GET", "/", {}, {}}, std::chrono::seconds(10),
              [&](const http_result& result) { outcome = result.outcome; });
  while (accepted == nullptr) {
    loop.run_once();
  }
  accepted->reset();
  while (!outcome.has_value()) {
    (void)client.oldest_connection();
    loop.run_once();
  }
  CHECK(outcome == http_outcome::interrupted);
}

TEST_CASE("a client closes the connection to a server that sends without end", "[F12]") {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string other_response = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n";
  struct endless_response {
    std::string description;
    std::string first;
    std::string repeated;
  };
  const std::vector<endless_response> cases = {
      {"bytes that are not a response", "x", repeat("x", 1'000)},
      {"a status line", "HTTP/1.1 200 ", repeat("x", 1'000)},
      {"one header", status + "X: ", repeat("x", 1'000)},
      {"headers", status, repeat("X: x\r\n", 100)},
      {"a body until the end of the connection", status + "\r\n", repeat("x", 1'000)},
      {"a body of chunks", status + "Transfer-Encoding: chunked\r\n\r\n",
       repeat("3\r\nabc\r\n", 100)},
      {"empty lines before a chunk", status + "Transfer-Encoding: chunked\r\n\r\n",
       repeat("\r\n", 100)},
      {"a chunk extension", status + "Transfer-Encoding: chunked\r\n\r\n3;", repeat("x", 1'000)},
      {"trailers", status + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeat("X: x\r\n", 100)},
      {"interim responses", "HTTP/1.1 100 Continue\r\n\r\n",
       repeat("HTTP/1.1 100 Continue\r\n\r\n", 50)},
      {"responses to other requests", other_response, repeat(other_response, 50)},
  };
  for (const endless_response& test_case : cases) {
    INFO(test_case.description);
    event_loop loop;
    endless_server server(loop, test_case.first, test_case.repeated);
    http_client_options options;
    options.size = {size_limit, size_limit};
    http_client client(loop, {"127.0.0.1", server.port()}, options);
    http_outcome outcome = http_outcome::answered;
    client.send(
        {"GET", "/", {}, {}}, std::chrono::seconds(10),
        [&](const http_result& result) {
          outcome = result.outcome;
          loop.stop();
        },
        [](const http_response& response, bool) {
          return header_value(response.headers, "X-Id") == "own" ? response_match::matched
                                                                 : response_match::other_request;
        });
    loop.run();
    CHECK(outcome == http_outcome::garbled);
    while (!server.closed()) {
      loop.run_once();
    }
    CHECK(server.written() < written_limit);
  }
}

TEST_CASE("an answer without end neither fills the memory nor delays other calls", "[F12]") {
  // Failure guarded against: a server that sends faster than the loop reads ended the process.
  struct flood {
    std::string description;
    std::string first;
    std::string repeated;
  };
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const auto flooded = GENERATE_COPY(values<flood>({
      {"in a body", status + "\r\n", repeat("x", 100'000)},
      {"in a body of chunks", status + "Transfer-Encoding: chunked\r\n\r\n",
       repeat("3\r\nabc\r\n", 10'000)},
      {"in a header", status + "X: ", repeat("x", 100'000)},
      {"in trailers", status + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
       repeat("X: x\r\n", 10'000)},
      {"in bytes after the answer", status + "Content-Length: 0\r\n\r\n", repeat("x", 100'000)},
  }));
  INFO(flooded.description);
  const flooding_server server(flooded.first, flooded.repeated);
  event_loop loop;
  http_client_options options;
  options.size = {size_limit, size_limit};
  http_client client(loop, {"127.0.0.1", server.port()}, options);
  bool ended = false;
  client.send({"GET", "/", {}, {}}, std::chrono::seconds(20),
              [&](const http_result&) { ended = true; });
  while (server.written() == 0) {
    loop.run_once();
  }
  while (server.written() < flood_head_start) {
    std::this_thread::yield();
  }
  for (int turn = 0; turn < flood_turns_limit; ++turn) {
    loop.run_once();
  }
  CHECK(ended);
  while (!server.closed()) {
    loop.run_once();
  }
  CHECK(server.written() < flood_limit);
}

TEST_CASE("a server that acknowledges nothing ends a long call before its timeout", "[F7]") {
  // Failure guarded against: a call with a long timeout, such as a watch, waited for a server whose
  // machine had gone.
  event_loop loop;
  std::vector<int> accepted;
  tcp_listener listener(loop, {"127.0.0.1", 0}, [&](std::intptr_t descriptor) {
    accepted.push_back(static_cast<int>(descriptor));
    stop_acknowledging(accepted.back());
  });
  loop_client client(loop, listener.port());
  const time_point sent_at = loop.now();
  // More than the kernel takes before the filter is attached.
  const std::string body(8'000'000, 'x');
  CHECK(client.send("POST", "/", {}, body).outcome == http_outcome::interrupted);
  CHECK(loop.now() - sent_at < std::chrono::seconds(9));
  for (const int descriptor : accepted) {
    ::close(descriptor);
  }
}

TEST_CASE("a response is read although the rest of the request cannot be written", "[P4]") {
  // Failure guarded against: a server that responded to a long request before it had read the whole
  // of it, and closed, had run it; the client noticed the failed write first and lost the response.
  event_loop loop;
  const std::string response =
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone";
  const bool whole = GENERATE(true, false);
  INFO((whole ? "a whole response" : "a part of a response"));
  scripted_server server(loop, 0, [&](scripted_server::connection& connection, const std::string&) {
    connection.write(whole ? response : response.substr(0, 59));
    connection.close();
  });
  loop_client client(loop, server.port());
  const std::string body(8'000'000, 'x');
  const http_result result = client.send("POST", "/", {}, body);
  CHECK(result.outcome == (whole ? http_outcome::answered : http_outcome::interrupted));
  CHECK(result.response.body == (whole ? "done" : ""));
}

}  // namespace crocusdoor

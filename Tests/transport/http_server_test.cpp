#include "transport/http_server.h"

#include <catch2/catch.hpp>

#include "loop_client.h"
#include "raw_connection.h"

namespace crocusdoor {

TEST_CASE("a server separates the requests of one connection", "[P4][F12]") {
  event_loop loop;
  std::vector<std::string> received;
  http_server server(loop, {"127.0.0.1", 0}, [&](const std::shared_ptr<http_exchange>& exchange) {
    std::string text = exchange->request().method;
    received.push_back(text.append(" ").append(exchange->request().body));
    exchange->respond({200, {}, received.back()});
  });
  loop_client client(loop, server.port());

  SECTION("the body of a method that usually has none is received and not read as a request") {
    for (const std::string method : {"GET", "DELETE", "OPTIONS"}) {
      received.clear();
      const std::string body = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
      const http_result result = client.send(method, "/", {}, body);
      INFO(method);
      std::string expected = method;
      CHECK(result.response.body == expected.append(" ").append(body));
      CHECK(received.size() == 1);
    }
    CHECK(client.send("GET", "/").response.body == "GET ");
  }
  SECTION("bodies of the other methods are received") {
    for (const std::string method : {"POST", "PUT", "PATCH"}) {
      CHECK(client.send(method, "/", {}, "b").response.body == method + " b");
    }
  }
}

TEST_CASE("the server detects that a client closes while it waits for the response", "[P11]") {
  event_loop loop;
  std::shared_ptr<http_exchange> pending_exchange;
  bool closed = false;
  http_server server(loop, {"127.0.0.1", 0}, [&](const std::shared_ptr<http_exchange>& exchange) {
    pending_exchange = exchange;
    exchange->on_disconnect([&] { closed = true; });
  });
  loop_client client(loop, server.port());
  bool callback_called = false;
  for (const char* method : {"GET", "POST"}) {
    pending_exchange = nullptr;
    closed = false;
    const http_call call =
        client.start(method, "/", {}, "", [&](const http_result&) { callback_called = true; });
    REQUIRE(client.run_until([&] { return pending_exchange != nullptr; }));
    CHECK_FALSE(pending_exchange->disconnected());
    client.cancel(call);
    CHECK(client.run_until([&] { return closed; }));
    CHECK(pending_exchange->disconnected());
    pending_exchange->respond({200, {}, "late"});
  }
  CHECK_FALSE(callback_called);
}

TEST_CASE("the server detects that a client closes behind unread input", "[F7]") {
  // Failure guarded against: while a request is being answered, reading stops at a limit, and the
  // end of the connection behind the unread bytes was not detected.
  event_loop loop;
  std::shared_ptr<http_exchange> pending_exchange;
  bool closed = false;
  http_server server(loop, {"127.0.0.1", 0}, [&](const std::shared_ptr<http_exchange>& exchange) {
    pending_exchange = exchange;
    exchange->on_disconnect([&] { closed = true; });
  });
  loop_client client(loop, server.port());
  raw_connection caller(server.port());
  caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(client.run_until([&] { return pending_exchange != nullptr; }));
  caller.write(std::string(150'000, 'x'));
  const time_point written_at = loop.now();
  client.run_until([&] { return loop.now() - written_at > std::chrono::milliseconds(50); });
  CHECK_FALSE(closed);
  caller.close();
  CHECK(client.run_until([&] { return closed; }));
}

TEST_CASE("a server that stops accepting responds to requests sent before", "[P8]") {
  // Failure guarded against: at the end of a stop, connections that were established but not
  // accepted yet, or that had unread bytes, were closed without a response.
  event_loop loop;
  http_server server(loop, {"127.0.0.1", 0}, [&](const std::shared_ptr<http_exchange>& exchange) {
    exchange->respond({200, {}, "done"});
  });
  loop_client client(loop, server.port());

  SECTION("a request on a connection that the loop has not accepted yet") {
    raw_connection caller(server.port());
    caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    server.stop_accepting();
    server.close_idle();
    CHECK(server.active() == 1);
    CHECK(client.run_until([&] { return caller.received().find("done") != std::string::npos; }));
  }
  SECTION("an unread request on a keep-alive connection") {
    raw_connection caller(server.port());
    caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(client.run_until([&] { return caller.received().find("done") != std::string::npos; }));
    const std::size_t response_size = caller.received().size();
    caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    server.stop_accepting();
    server.close_idle();
    CHECK(client.run_until([&] { return caller.received().size() == 2 * response_size; }));
  }
  SECTION("an idle keep-alive connection is closed at once") {
    raw_connection caller(server.port());
    caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(client.run_until([&] { return caller.received().find("done") != std::string::npos; }));
    server.close_idle();
    CHECK(client.run_until([&] { return caller.at_end(); }));
  }
  SECTION("a new connection is closed if its first request does not arrive in time") {
    raw_connection caller(server.port());
    server.stop_accepting();
    server.close_idle();
    CHECK(server.active() == 1);
    CHECK(client.run_until([&] {
      server.close_idle();
      return caller.at_end();
    }));
    CHECK(server.active() == 0);
  }
}

TEST_CASE("a client that sends requests without end does not fill the memory", "[F12]") {
  // Failure guarded against: pipelined requests were taken faster than they were answered.
  constexpr std::size_t response_bytes = 1'000;
  event_loop loop;
  std::size_t handled = 0;
  http_server server(loop, {"127.0.0.1", 0}, [&](const std::shared_ptr<http_exchange>& exchange) {
    ++handled;
    loop.post([exchange] { exchange->respond({200, {}, std::string(response_bytes, 'x')}); });
  });
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  std::string requests;
  for (int i = 0; i < 4'000; ++i) {
    requests += request;
  }
  const bool reads = GENERATE(true, false);
  INFO((reads ? "the client reads" : "the client does not read") << " the responses");
  raw_connection caller(server.port());
  std::size_t sent = 0;
  const timer_handle sender = loop.every(std::chrono::milliseconds(1), [&] {
    sent += caller.write_some(requests.substr(sent % request.size()));
    if (reads) {
      (void)caller.received();
    }
  });
  const timer_handle end = loop.after(std::chrono::seconds(2), [&] { loop.stop(); });
  loop.run();
  // The kernel may hold some 10 MB of the requests and of the responses.
  constexpr std::size_t kernel_bytes = 16'000'000;
  CHECK(handled > 0);
  CHECK(sent < handled * request.size() + kernel_bytes);
  CHECK((reads || handled * response_bytes < kernel_bytes));
}

TEST_CASE("a server can close a connection without a response", "[F2]") {
  event_loop loop;
  http_server server(loop, {"127.0.0.1", 0}, [&](const std::shared_ptr<http_exchange>& exchange) {
    loop.post([exchange] { exchange->close(); });
  });
  loop_client client(loop, server.port());
  CHECK(client.send("GET", "/").outcome == http_outcome::interrupted);
  CHECK(client.send("POST", "/", {}, "b").outcome == http_outcome::interrupted);
}

}  // namespace crocusdoor

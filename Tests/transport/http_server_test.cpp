#include "transport/http_server.h"

#include <catch2/catch.hpp>

#include "loop_client.h"
#include "raw_connection.h"

namespace crocusdoor {

TEST_CASE("a server keeps the answers of one connection apart", "[P4][F12]") {
  event_loop loop;
  std::vector<std::string> received;
  http_server server(loop, {"127.0.0.1", 0}, [&](const std::shared_ptr<http_exchange>& exchange) {
    std::string text = exchange->request().method;
    received.push_back(text.append(" ").append(exchange->request().body));
    exchange->respond({200, {}, received.back()});
  });
  loop_client client(loop, server.port());

  SECTION("a body with a method that usually has none arrives, and is not taken for a request") {
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
  SECTION("bodies of the other methods arrive") {
    for (const std::string method : {"POST", "PUT", "PATCH"}) {
      CHECK(client.send(method, "/", {}, "b").response.body == method + " b");
    }
  }
}

TEST_CASE("a client that closes its connection is noticed while it waits", "[P11]") {
  event_loop loop;
  std::shared_ptr<http_exchange> held;
  bool closed = false;
  http_server server(loop, {"127.0.0.1", 0}, [&](const std::shared_ptr<http_exchange>& exchange) {
    held = exchange;
    exchange->on_disconnect([&] { closed = true; });
  });
  loop_client client(loop, server.port());
  bool called = false;
  for (const char* method : {"GET", "POST"}) {
    held = nullptr;
    closed = false;
    const http_call call =
        client.start(method, "/", {}, "", [&](const http_result&) { called = true; });
    REQUIRE(client.run_until([&] { return held != nullptr; }));
    CHECK_FALSE(held->disconnected());
    client.cancel(call);
    CHECK(client.run_until([&] { return closed; }));
    CHECK(held->disconnected());
    held->respond({200, {}, "late"});
  }
  CHECK_FALSE(called);
}

TEST_CASE("a client that has sent more than is read is still noticed when it closes", "[F7]") {
  // Failure guarded against: reading stops at a limit while a request is answered, and the end of
  // the connection was not seen behind the unread bytes.
  event_loop loop;
  std::shared_ptr<http_exchange> held;
  bool closed = false;
  http_server server(loop, {"127.0.0.1", 0}, [&](const std::shared_ptr<http_exchange>& exchange) {
    held = exchange;
    exchange->on_disconnect([&] { closed = true; });
  });
  loop_client client(loop, server.port());
  raw_connection caller(server.port());
  caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(client.run_until([&] { return held != nullptr; }));
  caller.write(std::string(150'000, 'x'));
  const time_point written_at = loop.now();
  client.run_until([&] { return loop.now() - written_at > std::chrono::milliseconds(50); });
  CHECK_FALSE(closed);
  caller.close();
  CHECK(client.run_until([&] { return closed; }));
}

TEST_CASE("a server that stops accepting answers what callers have sent before", "[P8]") {
  // Failure guarded against: connections that were established but not accepted yet, or whose bytes
  // were unread, were closed without an answer at the end of a stop.
  event_loop loop;
  http_server server(loop, {"127.0.0.1", 0}, [&](const std::shared_ptr<http_exchange>& exchange) {
    exchange->respond({200, {}, "done"});
  });
  loop_client client(loop, server.port());

  SECTION("a request of a connection that the loop has not accepted yet") {
    raw_connection caller(server.port());
    caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    server.stop_accepting();
    server.close_idle();
    CHECK(server.active() == 1);
    CHECK(client.run_until([&] { return caller.received().find("done") != std::string::npos; }));
  }
  SECTION("a request whose bytes wait unread on a kept connection") {
    raw_connection caller(server.port());
    caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(client.run_until([&] { return caller.received().find("done") != std::string::npos; }));
    const std::size_t first = caller.received().size();
    caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    server.stop_accepting();
    server.close_idle();
    CHECK(client.run_until([&] { return caller.received().size() == 2 * first; }));
  }
  SECTION("a connection that is kept without a request is closed at once") {
    raw_connection caller(server.port());
    caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(client.run_until([&] { return caller.received().find("done") != std::string::npos; }));
    server.close_idle();
    CHECK(client.run_until([&] { return caller.at_end(); }));
  }
  SECTION("a new connection has a moment to send its first request, and is then closed") {
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

TEST_CASE("a server can close a connection without an answer", "[F2]") {
  event_loop loop;
  http_server server(loop, {"127.0.0.1", 0}, [&](const std::shared_ptr<http_exchange>& exchange) {
    loop.post([exchange] { exchange->close(); });
  });
  loop_client client(loop, server.port());
  CHECK(client.send("GET", "/").outcome == http_outcome::interrupted);
  CHECK(client.send("POST", "/", {}, "b").outcome == http_outcome::interrupted);
}

}  // namespace crocusdoor

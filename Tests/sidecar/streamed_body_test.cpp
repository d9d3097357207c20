#include <algorithm>
#include <array>
#include <cstdio>

#include "mesh_fixture.h"
#include "raw_connection.h"

namespace crocusdoor {

namespace {

constexpr std::size_t body_limit_bytes = 20'000'000;
/// Too large to be held at a sidecar.
constexpr std::size_t body_bytes = 5'000'000;
/// What a caller sends that leaves in the middle of a body.
constexpr std::size_t begun_bytes = 2'000'000;

/// Bytes that differ from place to place, so that a part that is missing or moved shows.
std::string make_body(std::size_t size) {
  std::string body;
  while (body.size() < size) {
    body += std::to_string(body.size()) + "\n";
  }
  body.resize(size);
  return body;
}

std::string request_head(const std::string& path, const std::string& fields) {
  return "PUT " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: raw\r\n" + fields + "\r\n";
}

std::string length_field(std::size_t bytes) {
  return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

/// Two sidecars, each with a target of another service.
struct streaming_mesh : mesh_fixture {
  test_instance& origin = add("origin", "other");
  test_instance& target = add("target", "s");

  streaming_mesh() {
    mesh_fixture::body_limit_bytes = crocusdoor::body_limit_bytes;
    configure(1, "s", std::chrono::seconds(10));
    start();
    http_server_limits limits;
    limits.size.body_bytes = crocusdoor::body_limit_bytes;
    target.target->set_limits(limits);
  }

  /// Writes the bytes as fast as the connection takes them. Returns whether it took all.
  bool write(const raw_connection& connection, const std::string& bytes) {
    std::size_t sent = 0;
    return run_until([&] {
      sent += connection.write_some(bytes.substr(sent, 65'536));
      return sent == bytes.size();
    });
  }

  /// Repeats an action until it succeeds, for a bounded time.
  bool repeat(const std::function<bool()>& action) {
    constexpr int tries = 100;
    bool succeeded = action();
    for (int i = 1; i < tries && !succeeded; ++i) {
      run_for(std::chrono::milliseconds(20), [] { return false; });
      succeeded = action();
    }
    return succeeded;
  }

  bool serves() { return call(origin, "PUT", "/safe/", "small").response.status == 200; }
};

bool answers(raw_connection& connection, int status) {
  return connection.received().starts_with("HTTP/1.1 " + std::to_string(status));
}

}  // namespace

// Failure guarded against: a single request with a body inside the limit of the configuration was
// refused with 413, because bodies were held whole and no sidecar has the memory for one.

TEST_CASE("a body that is too large to be held passes through two sidecars in parts", "[sidecar]") {
  streaming_mesh mesh;
  const std::string body = make_body(body_bytes);

  SECTION("with its length announced") {
    const http_result result = mesh.call(mesh.origin, "PUT", "/once/a?b=c", body);
    CHECK(result.response.status == 200);
    REQUIRE(mesh.target.received.size() == 1);
    CHECK(mesh.target.received.front().body == body);
    CHECK(mesh.target.received.front().target == "/once/a?b=c");
  }

  SECTION("in chunks, and the connection serves the next request") {
    raw_connection caller(mesh.origin.callers_port());
    std::string content = request_head("/once/", "Transfer-Encoding: chunked\r\n");
    for (std::size_t begin = 0; begin < body.size(); begin += 65'536) {
      const std::string chunk = body.substr(begin, 65'536);
      std::array<char, 16> length{};
      std::snprintf(length.data(), length.size(), "%zx\r\n", chunk.size());
      content.append(length.data()).append(chunk).append("\r\n");
    }
    REQUIRE(mesh.write(caller, content + "0\r\n\r\n"));
    REQUIRE(mesh.run_until([&] { return answers(caller, 200); }));
    REQUIRE(mesh.target.received.size() == 1);
    CHECK(mesh.target.received.front().body == body);
    caller.write(request_head("/safe/", length_field(0)));
    CHECK(mesh.run_until([&] { return mesh.target.received.size() == 2; }));
  }

  SECTION("and the target's response arrives although the target has not read the body") {
    http_server_limits limits;
    limits.size.body_bytes = body_limit_bytes;
    limits.held_body_bytes = 1'000;
    mesh.target.target->set_limits(limits);
    const http_result result = mesh.call(mesh.origin, "PUT", "/once/", body);
    CHECK(result.response.status == 200);
    CHECK(result.response.body == "answer of target");
    CHECK(mesh.target.received.size() == 1);
    CHECK(mesh.serves());
  }

  SECTION("and a body that turns out larger than the limit is refused") {
    raw_connection caller(mesh.origin.callers_port());
    const std::string chunk = "100000\r\n" + std::string(0x100000, 'x') + "\r\n";
    std::string content = request_head("/once/", "Transfer-Encoding: chunked\r\n");
    while (content.size() <= body_limit_bytes) {
      content += chunk;
    }
    mesh.write(caller, content);
    CHECK(mesh.run_until([&] { return answers(caller, 413); }));
    CHECK(mesh.target.received.empty());
    CHECK(mesh.serves());
  }
}

TEST_CASE("a body that ends in the middle reaches no target", "[sidecar]") {
  streaming_mesh mesh;
  const std::string path = GENERATE("/safe/", "/once/");
  CAPTURE(path);
  raw_connection caller(mesh.origin.callers_port());
  const std::string head = request_head(path, length_field(body_bytes));
  REQUIRE(mesh.write(caller, head + make_body(begun_bytes)));

  SECTION("if the caller leaves") {
    caller.close();
    mesh.run_for(std::chrono::milliseconds(200), [] { return false; });
  }
  SECTION("if the daemon of the target ends, and no other target gets the rest") {
    mesh.target.restart_daemon();
    CHECK(mesh.run_until([&] { return caller.at_end(); }));
    CHECK_FALSE(answers(caller, 200));
    CHECK_FALSE(answers(caller, 503));
    mesh.target.announce("ready");
  }
  CHECK(mesh.target.received.empty());
  CHECK(mesh.repeat([&] { return mesh.serves(); }));
}

TEST_CASE("bodies that are not held leave slots and memory to other requests", "[sidecar]") {
  // Failure guarded against: callers that begin large bodies and do not go on keep all slots of a
  // target.
  streaming_mesh mesh;
  const std::string head = request_head("/once/", length_field(body_bytes));
  std::vector<std::unique_ptr<raw_connection>> callers;
  for (std::size_t i = 0; i <= http_server_limits{}.streamed_requests; ++i) {
    callers.push_back(std::make_unique<raw_connection>(mesh.origin.callers_port()));
    callers.back()->write(head);
  }
  const auto refused = [&](const auto& caller) { return answers(*caller, 503); };
  CHECK(mesh.run_until([&] {
    return std::count_if(callers.begin(), callers.end(), refused) + 1 == std::ssize(callers);
  }));
  CHECK(callers.back()->received().find("Retry-After: ") != std::string::npos);
  CHECK(mesh.target.received.empty());

  SECTION("ordinary requests are served beside them") {
    CHECK(mesh.serves());
  }
  SECTION("the next large body is served when they have left") {
    callers.clear();
    CHECK(mesh.repeat([&] {
      return mesh.call(mesh.origin, "PUT", "/once/", make_body(body_bytes)).response.status == 200;
    }));
  }
}

}  // namespace crocusdoor

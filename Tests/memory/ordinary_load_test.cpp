#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <iostream>

#include "client_crowd.h"
#include "core/digest.h"
#include "loaded_process.h"

namespace crocusdoor::test {

namespace {

/// Memory of the smaller machines.
constexpr int memory_mb = 160;

/// Opens all connections, sends one small request over each and checks that all are served.
void check_connections_served(std::size_t count) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  loaded_process process(memory_mb, {});
  client_crowd crowd;
  for (std::size_t i = 0; i < count; ++i) {
    crowd.add(process.ports().callers, {request_head("GET"), "", 0, "\r\n"});
  }
  crowd.send_all({});
  for (int wait = 0; wait < 100 && crowd.answered("200") < count; ++wait) {
    crowd.stay_connected(std::chrono::milliseconds(100));
  }
  std::cout << "ordinary connections " << count << ": answered with 200 " << crowd.answered("200")
            << ", connected " << crowd.connected() << ", peak kB "
            << process.usage().peak_resident_bytes / 1'000 << std::endl;
  CHECK(crowd.answered("200") == count);
  CHECK(crowd.connected() == count);
}

/// The smallest machine, and the largest body that its operators allow.
constexpr int smallest_memory_mb = 88;
constexpr std::size_t largest_body_bytes = 67'108'864;
constexpr std::size_t bytes_per_mb = 1'000'000;

/// Bytes that differ from place to place, so that a part that is missing or moved shows.
std::string make_body(std::size_t size) {
  constexpr std::size_t line_bytes = 16;
  std::string body;
  body.reserve(size + line_bytes);
  while (body.size() < size) {
    char line[line_bytes + 1] = {};
    std::snprintf(line, sizeof(line), "%015zx\n", body.size());
    body += line;
  }
  body.resize(size);
  return body;
}

/// The body in chunks of 100,000 bytes.
std::string chunked(const std::string& body) {
  constexpr std::size_t chunk_bytes = 100'000;
  std::string result;
  for (std::size_t begin = 0; begin < body.size(); begin += chunk_bytes) {
    const std::string chunk = body.substr(begin, chunk_bytes);
    char length[16] = {};
    std::snprintf(length, sizeof(length), "%zx", chunk.size());
    result.append(length).append("\r\n").append(chunk).append("\r\n");
  }
  return result + "0\r\n\r\n";
}

/// Sends one request with a body of the largest size in calm and checks what the target received.
void check_largest_body_served(const std::string& fields, const std::string& content,
                               const std::string& body) {
  loaded_process process(process_limits{smallest_memory_mb, 0, largest_body_bytes}, {});
  const std::string response = process.exchange(request_head("POST", fields + "\r\n") + content);
  CAPTURE(response);
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.find("X-Body-Bytes: " + std::to_string(body.size()) + "\r") != std::string::npos);
  CHECK(response.find("X-Body-Hash: " + std::to_string(stable_hash(body)) + "\r") !=
        std::string::npos);
  CHECK(process.usage().peak_resident_bytes <= smallest_memory_mb * bytes_per_mb);
  CHECK(process.serves());
}

}  // namespace

TEST_CASE("ordinary connections are served with bounded memory") {
  check_connections_served(300);
}

TEST_CASE("two thousand ordinary connections are served with bounded memory", "[.][by-hand]") {
  check_connections_served(2'000);
}

TEST_CASE("one body of the full size is served with bounded memory") {
  loaded_process process(memory_mb, {});
  const std::string head =
      request_head("POST", "Content-Length: " + std::to_string(http_body_limit_bytes) + "\r\n\r\n");
  const std::string response = process.exchange(head + std::string(http_body_limit_bytes, 'b'));
  CAPTURE(response);
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.find("X-Body-Bytes: 1000000") != std::string::npos);
}

// Failure guarded against: a single request inside the limits of the configuration was refused with
// 413 after all of it had been sent, because bodies were held whole and limited to 1 MB.

TEST_CASE(
    "one body of the largest size that operators allow is served, with its length announced") {
  const std::string body = make_body(largest_body_bytes);
  check_largest_body_served("Content-Length: " + std::to_string(body.size()) + "\r\n", body, body);
}

TEST_CASE("one body of the largest size that operators allow is served in chunks") {
  const std::string body = make_body(largest_body_bytes);
  check_largest_body_served("Transfer-Encoding: chunked\r\n", chunked(body), body);
}

}  // namespace crocusdoor::test

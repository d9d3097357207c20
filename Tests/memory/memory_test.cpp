#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>

#include "client_crowd.h"
#include "loaded_process.h"

namespace crocusdoor::test {

namespace {

// The crowd and the bounds follow from `memory_mb` alone and were fixed before the product was
// changed. Each client may send a body of `body_bytes`, so the crowd can offer three times the
// memory of the machine. Nine clients of ten stop before the end of their bodies.
constexpr int memory_mb = 64;
constexpr std::size_t bytes_per_mb = 1'000'000;
constexpr std::size_t body_bytes = http_body_limit_bytes;
constexpr std::size_t crowd_size = bytes_per_mb * 3 * memory_mb / body_bytes;
/// The process must not use more than its machine has.
constexpr std::size_t resident_limit_bytes = bytes_per_mb * memory_mb;
/// A connection of each client, and those of the process itself.
constexpr std::size_t descriptor_limit = crowd_size + 64;
/// Bytes by which a body stops short.
constexpr std::size_t missing_bytes = 10;
constexpr std::size_t oversized_factor = 16;
/// The connections stay open for this long after the last byte.
constexpr std::chrono::milliseconds open_time{2'000};

constexpr crowd_pace at_once{};
constexpr crowd_pace piecewise{8'192, std::chrono::milliseconds(2)};

bool stops_short(std::size_t index) {
  return index % 10 != 0;
}

/// A body with its length announced; it lacks `missing_bytes` if it stops short.
client_script announced_body(std::size_t index) {
  client_script script{
      request_head("POST", "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n"),
      std::string(missing_bytes, 'b'), body_bytes / missing_bytes - 1, ""};
  if (!stops_short(index)) {
    script.tail = script.unit;
  }
  return script;
}

std::string chunk(std::size_t size) {
  char length[16] = {};
  std::snprintf(length, sizeof(length), "%zx", size);
  return std::string(length) + "\r\n" + std::string(size, 'b') + "\r\n";
}

/// A chunked body of the full size; the last chunk, which ends it, is missing if it stops short.
client_script chunked_body(std::size_t index, std::size_t chunk_bytes) {
  client_script script{request_head("POST", "Transfer-Encoding: chunked\r\n\r\n"),
                       chunk(chunk_bytes), body_bytes / chunk_bytes, ""};
  if (!stops_short(index)) {
    script.tail = "0\r\n\r\n";
  }
  return script;
}

template <typename MakeScript>
void add_crowd(client_crowd& crowd, std::uint16_t port, MakeScript make_script) {
  for (std::size_t i = 0; i < crowd_size; ++i) {
    crowd.add(port, make_script(i));
  }
}

/// Sends what the crowd has and checks the process while the connections are still open.
void check_under(client_crowd& crowd, loaded_process& process, crowd_pace pace) {
  const process_usage before = process.usage();
  crowd.send_all(pace);
  crowd.stay_connected(open_time);
  REQUIRE(process.alive());
  const process_usage after = process.usage();
  std::cout << "resident kB before " << before.resident_bytes / 1'000 << ", peak "
            << after.peak_resident_bytes / 1'000 << ", after " << after.resident_bytes / 1'000
            << "; descriptors " << after.descriptors << "; connected " << crowd.connected()
            << "; sent kB " << crowd.sent_bytes() / 1'000 << "; 200: " << crowd.answered("200")
            << ", 408: " << crowd.answered("408") << ", 413: " << crowd.answered("413")
            << ", 503: " << crowd.answered("503") << std::endl;
  CHECK(after.peak_resident_bytes <= resident_limit_bytes);
  CHECK(after.descriptors <= descriptor_limit);
  CHECK(process.serves());
  CHECK(process.alive());
}

}  // namespace

// Failure guarded against in all cases: a process ran out of memory while uncontrolled callers sent
// many large bodies at once and left them unfinished.

TEST_CASE("many large bodies that are sent at once stay within the memory") {
  loaded_process process(memory_mb, {});
  client_crowd crowd;
  add_crowd(crowd, process.ports().callers, announced_body);
  check_under(crowd, process, at_once);
}

TEST_CASE("many large bodies that are sent piece by piece stay within the memory") {
  loaded_process process(memory_mb, {});
  client_crowd crowd;
  add_crowd(crowd, process.ports().callers, announced_body);
  check_under(crowd, process, piecewise);
}

TEST_CASE("many bodies in large chunks stay within the memory") {
  loaded_process process(memory_mb, {});
  client_crowd crowd;
  add_crowd(crowd, process.ports().callers,
            [](std::size_t index) { return chunked_body(index, 62'500); });
  check_under(crowd, process, at_once);
}

TEST_CASE("many bodies in very small chunks stay within the memory") {
  loaded_process process(memory_mb, {});
  client_crowd crowd;
  add_crowd(crowd, process.ports().callers,
            [](std::size_t index) { return chunked_body(index, 1); });
  check_under(crowd, process, at_once);
}

TEST_CASE("bodies far over the limit whose size is announced stay within the memory") {
  loaded_process process(memory_mb, {});
  client_crowd crowd;
  add_crowd(crowd, process.ports().callers, [](std::size_t) {
    const std::size_t size = oversized_factor * body_bytes;
    return client_script{
        request_head("POST", "Content-Length: " + std::to_string(size) + "\r\n\r\n"),
        std::string(100, 'b'), size / 100, ""};
  });
  check_under(crowd, process, at_once);
}

TEST_CASE("bodies far over the limit that are just sent stay within the memory") {
  loaded_process process(memory_mb, {});
  client_crowd crowd;
  add_crowd(crowd, process.ports().callers, [](std::size_t) {
    return client_script{request_head("POST", "Transfer-Encoding: chunked\r\n\r\n"), chunk(1'000),
                         oversized_factor * body_bytes / 1'000, ""};
  });
  check_under(crowd, process, piecewise);
}

TEST_CASE("whole bodies that wait for a slow target stay within the memory") {
  loaded_process process(memory_mb, {4, std::chrono::milliseconds(500)});
  client_crowd crowd;
  add_crowd(crowd, process.ports().callers, [](std::size_t) { return announced_body(0); });
  check_under(crowd, process, at_once);
}

TEST_CASE("large bodies on the other listening sockets stay within the memory") {
  loaded_process process(memory_mb, {});
  const sidecar_ports& ports = process.ports();
  const std::uint16_t others[] = {ports.readiness, ports.registration, ports.metrics};
  client_crowd crowd;
  for (std::size_t i = 0; i < crowd_size; ++i) {
    // All of them stop short, so that the store gets no registrations from them.
    crowd.add(others[i % std::size(others)], announced_body(1));
  }
  check_under(crowd, process, at_once);
}

TEST_CASE("bytes that were received and not read stay within the memory") {
  // The platform counts them like memory of the process. 600 clients that send to a process which
  // reads nothing leave more than the machine has, if the system lets each of them send 128 kB.
  constexpr std::size_t unread_crowd_size = 600;
  constexpr std::size_t unread_body_bytes = 900'000;
  constexpr int looks = 40;
  loaded_process process(memory_mb, {});
  client_crowd crowd;
  for (std::size_t i = 0; i < unread_crowd_size; ++i) {
    crowd.add(
        process.ports().callers,
        {request_head("POST", "Content-Length: " + std::to_string(unread_body_bytes) + "\r\n\r\n"),
         std::string(missing_bytes, 'b'), unread_body_bytes / missing_bytes - 1, ""});
  }
  std::size_t most_unread = 0;
  std::size_t most_held = 0;
  for (int look = 0; look < looks; ++look) {
    crowd.send_for(piecewise, std::chrono::milliseconds(100));
    const std::size_t unread = process.unread_bytes();
    most_unread = std::max(most_unread, unread);
    most_held = std::max(most_held, unread + process.usage().resident_bytes);
  }
  std::cout << "resident and unread kB " << most_held / 1'000 << ", unread kB "
            << most_unread / 1'000 << "; connected " << crowd.connected() << "; sent kB "
            << crowd.sent_bytes() / 1'000 << std::endl;
  CHECK(most_held <= resident_limit_bytes);
  CHECK(process.serves());
  CHECK(process.alive());
}

TEST_CASE("requests with very many header fields stay within the memory") {
  // Each field of a few bytes needs far more memory in containers than on the connection.
  loaded_process process(memory_mb, {});
  client_crowd crowd;
  add_crowd(crowd, process.ports().callers, [](std::size_t) {
    client_script script{request_head("POST", "Content-Length: 1000\r\n"), "a:b\r\n", 3'000, ""};
    script.tail = "\r\n" + std::string(900, 'b');
    return script;
  });
  check_under(crowd, process, at_once);
}

}  // namespace crocusdoor::test

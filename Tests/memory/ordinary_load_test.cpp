#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <iostream>

#include "client_crowd.h"
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

}  // namespace crocusdoor::test

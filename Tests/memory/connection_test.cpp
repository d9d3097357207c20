#include <atomic>
#include <catch2/catch.hpp>
#include <iostream>
#include <thread>

#include "client_crowd.h"
#include "loaded_process.h"

namespace crocusdoor::test {

namespace {

// The crowd and the bounds follow from the descriptors that the process may open and were fixed
// before the product was changed. The crowd has more than twice as many connections.
constexpr int memory_mb = 160;
constexpr std::size_t descriptor_limit = 300;
constexpr std::size_t crowd_size = 700;
/// Clients must leave a quarter of the descriptors to the store, the target, peers, readiness and
/// metrics.
constexpr std::size_t used_descriptor_limit = descriptor_limit / 4 * 3;
constexpr int ordinary_requests = 5;
/// How often the state of the process is looked at, and how often it must be asleep.
constexpr int state_looks = 40;
constexpr int asleep_looks = state_looks / 2;
constexpr std::chrono::milliseconds look_interval{25};
constexpr std::chrono::milliseconds settle_time{1'000};

/// The first half of a small request; its client stays connected and sends nothing more.
client_script half_request() {
  return {request_head("POST", "Content-Length: 100\r\n\r\n"), std::string(50, 'b'), 1, ""};
}

void add_crowd(client_crowd& crowd, std::uint16_t port, const client_script& script) {
  for (std::size_t i = 0; i < crowd_size; ++i) {
    crowd.add(port, script);
  }
}

/// Keeps a crowd sending until it is destroyed.
class sending_crowd {
 public:
  sending_crowd(client_crowd& crowd, crowd_pace pace)
      : thread_([this, &crowd, pace] {
          while (!stopped_) {
            crowd.send_for(pace, look_interval);
          }
        }) {}
  ~sending_crowd() {
    stopped_ = true;
    thread_.join();
  }
  sending_crowd(const sending_crowd&) = delete;
  sending_crowd& operator=(const sending_crowd&) = delete;

 private:
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

/// Checks that callers, operators, the platform and peers reach the process, and that it can open
/// connections itself: its target closes each of them.
void check_reachable(loaded_process& process) {
  const sidecar_ports& ports = process.ports();
  for (int i = 0; i < ordinary_requests; ++i) {
    CHECK(process.serves());
  }
  const std::string readiness =
      loaded_process::exchange(ports.readiness, "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(readiness.starts_with("HTTP/1.1 200"));
  const std::string metrics =
      loaded_process::exchange(ports.metrics, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(metrics.starts_with("HTTP/1.1 200"));
  const std::string link = loaded_process::exchange(
      ports.peers,
      "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n");
  CHECK(link.starts_with("HTTP/1.1 101"));
  const process_usage usage = process.usage();
  CHECK(process.alive());
  CHECK(usage.descriptors <= used_descriptor_limit);
  CHECK(usage.peak_resident_bytes <= std::size_t{memory_mb} * 1'000'000);
  std::cout << "descriptors " << usage.descriptors << ", resident kB "
            << usage.resident_bytes / 1'000 << std::endl;
}

/// Checks that the process uses no processor time while nobody sends.
void check_asleep(const loaded_process& process) {
  int asleep = 0;
  for (int look = 0; look < state_looks; ++look) {
    asleep += process.asleep() ? 1 : 0;
    std::this_thread::sleep_for(look_interval);
  }
  std::cout << "asleep in " << asleep << " of " << state_looks << " looks" << std::endl;
  CHECK(asleep >= asleep_looks);
}

loaded_process start_process() {
  target_pattern pattern;
  pattern.closes_connections = true;
  return loaded_process(process_limits{memory_mb, descriptor_limit}, pattern);
}

}  // namespace

// Failure guarded against in all cases: clients that stayed connected took all descriptors of a
// process. It accepted no other caller, could not connect to its target, and its loop turned
// without a pause because the listening socket stayed readable.

TEST_CASE("unfinished requests leave descriptors to ordinary callers") {
  loaded_process process = start_process();
  client_crowd crowd;
  add_crowd(crowd, process.ports().callers, half_request());
  crowd.send_all({});
  crowd.stay_connected(settle_time);
  check_asleep(process);
  check_reachable(process);
}

TEST_CASE("connections without a request leave descriptors to ordinary callers") {
  loaded_process process = start_process();
  client_crowd crowd;
  add_crowd(crowd, process.ports().callers, {});
  crowd.stay_connected(settle_time);
  check_asleep(process);
  check_reachable(process);
}

TEST_CASE("connections that stay open after a response leave descriptors to ordinary callers") {
  loaded_process process = start_process();
  client_crowd crowd;
  add_crowd(crowd, process.ports().callers, {request_head("GET"), "", 0, "\r\n"});
  crowd.send_all({});
  crowd.stay_connected(settle_time);
  check_asleep(process);
  check_reachable(process);
}

TEST_CASE("requests that arrive byte by byte leave descriptors to ordinary callers") {
  loaded_process process = start_process();
  client_crowd crowd;
  add_crowd(crowd, process.ports().callers,
            {request_head("POST", "Content-Length: 1000000\r\n\r\n"), "b", 900'000, ""});
  const sending_crowd sending(crowd, {1, std::chrono::milliseconds(100)});
  std::this_thread::sleep_for(settle_time);
  check_reachable(process);
}

TEST_CASE("unfinished requests on the other listening sockets leave descriptors to callers") {
  loaded_process process = start_process();
  const sidecar_ports& ports = process.ports();
  client_crowd crowd;
  add_crowd(crowd, ports.registration, half_request());
  crowd.send_all({});
  crowd.stay_connected(settle_time);
  check_asleep(process);
  check_reachable(process);
}

TEST_CASE("a request that was passed on keeps its connection while others take all places") {
  target_pattern pattern;
  pattern.work = std::chrono::seconds(4);
  loaded_process process(process_limits{memory_mb, descriptor_limit}, pattern);
  client_crowd waiting;
  waiting.add(process.ports().callers, {request_head("GET"), "", 0, "\r\n"});
  waiting.send_all({});
  client_crowd crowd;
  add_crowd(crowd, process.ports().callers, half_request());
  crowd.send_all({});
  for (int wait = 0; wait < 100 && waiting.answered("") == 0; ++wait) {
    waiting.stay_connected(std::chrono::milliseconds(100));
  }
  CHECK(waiting.answered("200") == 1);
  CHECK(process.alive());
}

}  // namespace crocusdoor::test

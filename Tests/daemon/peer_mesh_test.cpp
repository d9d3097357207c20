#include "daemon/peer_mesh.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "linked_daemon.h"

namespace crocusdoor {

namespace {

/// A descriptor that is closed at the end of its scope.
class owned_socket {
 public:
  owned_socket() : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {}
  explicit owned_socket(int descriptor) : descriptor_(descriptor) {}
  owned_socket(owned_socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  owned_socket(const owned_socket&) = delete;
  owned_socket& operator=(const owned_socket&) = delete;
  owned_socket& operator=(owned_socket&&) = delete;
  ~owned_socket() {
    if (descriptor_ >= 0) {
      ::close(descriptor_);
    }
  }
  [[nodiscard]] int descriptor() const noexcept { return descriptor_; }

 private:
  int descriptor_;
};

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// A port at which connections are not answered, as at a machine without power, because its queue
/// of new connections is full. `accept_one` makes room in the queue.
class silent_port {
 public:
  silent_port() {
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    REQUIRE(::bind(listener_.descriptor(), reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(::listen(listener_.descriptor(), 0) == 0);
    REQUIRE(::getsockname(listener_.descriptor(), reinterpret_cast<sockaddr*>(&address), &size) ==
            0);
    port_ = ntohs(address.sin_port);
    connect_another();
  }

  /// Starts a connection to this port, which the kernel repeats until it is answered.
  void connect_another() {
    const sockaddr_in address = loopback(port_);
    connections_.emplace_back();
    // The connection is not established at once, so the call always reports an error.
    static_cast<void>(::connect(connections_.back().descriptor(),
                                reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
  }
  /// Accepts a connection; returns the port of its other end, or 0 if there is none.
  std::uint16_t accept_one() {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    const int descriptor =
        ::accept(listener_.descriptor(), reinterpret_cast<sockaddr*>(&address), &size);
    if (descriptor < 0) {
      return 0;
    }
    accepted_.emplace_back(descriptor);
    return ntohs(address.sin_port);
  }
  /// Port of the latest connection that `connect_another` has started.
  [[nodiscard]] std::uint16_t local_port() const {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(connections_.back().descriptor(), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
  }
  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

 private:
  owned_socket listener_;
  std::uint16_t port_ = 0;
  std::vector<owned_socket> connections_;
  std::vector<owned_socket> accepted_;
};

}  // namespace

TEST_CASE("only requests make heartbeats on a link frequent", "[F7][M2]") {
  // Failure guarded against: each change of an instance in a fleet of hundreds made all links busy
  // for a second, and the heartbeats were most of the traffic between failure domains.
  event_loop loop;
  const std::uint16_t port = unused_port(loop);
  linked_daemon left(loop, "left", 0);
  linked_daemon right(loop, "right", port);
  left.mesh().dial({"127.0.0.1", port});
  run_for(loop, std::chrono::milliseconds(1'300));
  const instance_name peer("right");
  REQUIRE(left.mesh().linked(peer));
  const std::uint64_t before = left.heartbeats();

  SECTION("a changed record does not") {
    REQUIRE(left.mesh().send(peer, wire::records{}));
    run_for(loop, std::chrono::milliseconds(700));
    CHECK(left.heartbeats() == before);
  }
  SECTION("a configuration for several peers does not") {
    left.mesh().send_to_all(wire::whole_configuration{});
    run_for(loop, std::chrono::milliseconds(700));
    CHECK(left.heartbeats() == before);
  }
  SECTION("a message of a request does, at both ends") {
    const std::uint64_t before_at_right = right.heartbeats();
    REQUIRE(left.mesh().send(peer, wire::call_cancel{7, 1}));
    run_for(loop, std::chrono::milliseconds(700));
    CHECK(left.heartbeats() > before);
    CHECK(right.heartbeats() > before_at_right);
  }
}

TEST_CASE("a peer that was dialled before its machine had power is linked soon after", "[F1]") {
  // Failure guarded against: after a restart of all machines a dial whose first packet was lost was
  // repeated by the kernel only after a second, and until then services had no upstream.
  event_loop loop;
  random_source random(1);
  silent_port machine;
  const instance_name peer("peer");
  peer_mesh::configuration settings;
  settings.self = instance_name("daemon");
  settings.listen = {"127.0.0.1", 0};
  settings.heartbeat_interval = std::chrono::milliseconds(250);
  settings.heartbeat_timeout = std::chrono::milliseconds(1'000);
  settings.first_retry_delay = std::chrono::milliseconds(50);
  settings.max_retry_delay = std::chrono::milliseconds(1'000);
  peer_mesh::handlers handlers;
  handlers.find_endpoint = [&](const instance_name&) {
    return std::optional(ip_endpoint{"127.0.0.1", machine.port()});
  };
  handlers.dial_failed = [](const instance_name&) {};
  peer_mesh mesh(loop, random, settings, handlers);

  machine.connect_another();
  const std::uint16_t repeated_by_kernel = machine.local_port();
  mesh.set_permanent_peers({peer});
  std::uint16_t next = 0;
  timer_handle accepting;
  const timer_handle power = loop.after(std::chrono::milliseconds(200), [&] {
    CHECK(machine.accept_one() != 0);  // Makes room in the queue of new connections.
    accepting = loop.every(std::chrono::milliseconds(10), [&] {
      next = machine.accept_one();
      if (next != 0) {
        loop.stop();
      }
    });
  });
  loop.run();
  CHECK(next != repeated_by_kernel);
}

TEST_CASE("a response to a peer counts as sent once the peer has acknowledged it", "[P8]") {
  // Failure guarded against: a daemon ended while responses were unsent in its links, and its peers
  // could not learn the outcome of requests that may run only once.
  linked_pair pair;
  peer_mesh& links = pair.daemon.mesh();
  REQUIRE(links.linked(pair.peer_name));
  CHECK(links.links_with_responses() == 0);

  SECTION("a response of which the peer reads nothing") {
    CHECK(pair.hold_response());
    CHECK(pair.run_until([&] { return links.links_with_responses() == 0; }));
  }
  SECTION("other messages are not waited for") {
    constexpr int message_limit = 12;
    wire::call call;
    call.body.bytes = std::string(1'500'000, 'x');
    for (int i = 0; i < message_limit && links.send(pair.peer_name, call); ++i) {
      run_for(pair.loop, std::chrono::milliseconds(20));
    }
    CHECK(links.links_with_responses() == 0);
  }
}

}  // namespace crocusdoor

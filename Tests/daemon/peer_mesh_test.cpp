#include "daemon/peer_mesh.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

namespace {

/// A daemon with links and nothing else.
class linked_daemon {
 public:
  linked_daemon(event_loop& loop, const std::string& name, std::uint16_t port)
      : random_(1), mesh_(loop, random_, settings(name, port), handlers(name)) {}

  peer_mesh& mesh() noexcept { return mesh_; }
  /// Heartbeats sent so far.
  [[nodiscard]] std::uint64_t heartbeats() const {
    std::uint64_t count = 0;
    for (const auto& [scope, kinds] : mesh_.traffic().totals()) {
      const auto found = kinds.find("heartbeat");
      count += found == kinds.end() ? 0 : found->second.messages;
    }
    return count;
  }

 private:
  static peer_mesh::configuration settings(const std::string& name, std::uint16_t port) {
    peer_mesh::configuration result;
    result.self = instance_name(name);
    result.listen = {"127.0.0.1", port};
    result.heartbeat_interval = std::chrono::milliseconds(100);
    result.idle_interval_per_link = std::chrono::minutes(1);
    result.heartbeat_timeout = std::chrono::seconds(5);
    result.respond_to_heartbeats = false;
    return result;
  }
  static peer_mesh::handlers handlers(const std::string& name) {
    peer_mesh::handlers result;
    result.make_hello = [name](const instance_name&) {
      wire::hello greeting;
      greeting.self.name = instance_name(name);
      return greeting;
    };
    result.configuration_version = [] { return version_number(1); };
    result.configuration_digest = [] { return digest(); };
    result.peer_established = [](const instance_name&, const wire::hello&) {};
    result.peer_lost = [](const instance_name&, const std::string&) {};
    result.dial_failed = [](const instance_name&) {};
    result.version_reported = [](const instance_name&, version_number) {};
    return result;
  }

  random_source random_;
  peer_mesh mesh_;
};

void run_for(event_loop& loop, duration time) {
  const timer_handle end = loop.after(time, [&] { loop.stop(); });
  loop.run();
}

}  // namespace

TEST_CASE("only requests make heartbeats on a link frequent", "[F7][M2]") {
  // Failure guarded against: each change of an instance in a fleet of hundreds made all links busy
  // for a second, and the heartbeats were most of the traffic between failure domains.
  event_loop loop;
  const std::uint16_t port = [&] { return tcp_listener(loop, {"127.0.0.1", 0}, {}).port(); }();
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

}  // namespace crocusdoor

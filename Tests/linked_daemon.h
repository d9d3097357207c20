#pragma once

#include <string>

#include "daemon/peer_mesh.h"

namespace crocusdoor {

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

/// Runs a loop for a while, or until it is stopped. Returns whether it was stopped.
inline bool run_for(event_loop& loop, duration time) {
  bool timed_out = false;
  const timer_handle end = loop.after(time, [&] {
    timed_out = true;
    loop.stop();
  });
  loop.run();
  return !timed_out;
}

/// A port on which no daemon listens yet.
inline std::uint16_t unused_port(event_loop& loop) {
  return tcp_listener(loop, {"127.0.0.1", 0}, {}).port();
}

/// Two daemons on loops of their own, so that one can stop reading.
struct linked_pair {
  linked_pair() {
    daemon.mesh().dial({"127.0.0.1", peer_port});
    run_until([&] { return daemon.mesh().linked(peer_name); });
  }

  /// Runs both loops in turn until the condition holds, for some 4 s at most.
  template <typename Condition>
  bool run_until(Condition condition) {
    for (int turn = 0; turn < 200 && !condition(); ++turn) {
      run_for(loop, std::chrono::milliseconds(10));
      run_for(peer_loop, std::chrono::milliseconds(10));
    }
    return condition();
  }
  /// Sends responses, of which the peer reads nothing, until the buffers of the kernel are full.
  bool hold_response() {
    constexpr int message_limit = 12;
    wire::call_answer response;
    response.body.bytes = std::string(1'500'000, 'x');
    for (int i = 0; i < message_limit && daemon.mesh().links_with_responses() == 0; ++i) {
      static_cast<void>(daemon.mesh().send(peer_name, response));
      run_for(loop, std::chrono::milliseconds(20));
    }
    return daemon.mesh().links_with_responses() > 0;
  }

  event_loop loop;
  event_loop peer_loop;
  const std::uint16_t peer_port = unused_port(peer_loop);
  linked_daemon daemon{loop, "daemon", 0};
  linked_daemon peer{peer_loop, "peer", peer_port};
  const instance_name peer_name{"peer"};
};

}  // namespace crocusdoor

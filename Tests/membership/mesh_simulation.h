#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "link/heartbeat_monitor.h"
#include "membership/directory.h"
#include "membership/gossip_queue.h"
#include "wire/message.h"

namespace crocusdoor {

/// The record of instance number `index` in one of `domains` failure domains.
instance_record make_record(std::size_t index, std::size_t domains = 3);

/// Daemons on a virtual clock, connected as the shell connects them: control links with heartbeats,
/// gossip five times a second, comparison of fingerprints, contacts to dead instances.
class mesh_simulation {
 public:
  static constexpr duration step = std::chrono::milliseconds(100);  ///< Also the one-way latency.

  struct peer_link {
    heartbeat_monitor monitor;
    std::uint64_t incarnation = 0;  ///< Of the peer, from its `hello`; 0 before.
  };
  struct node {
    std::unique_ptr<directory> known;  ///< Empty while the daemon does not run.
    gossip_queue queue;
    std::map<instance_name, peer_link> links;
    std::uint64_t seen_revision = 0;
    std::uint64_t incarnation = 1;
    std::uint64_t record_bytes = 0;  ///< Sent in `records` messages.
  };

  /// `count` daemons that all know each other and are ready.
  mesh_simulation(std::size_t count, std::size_t domains, std::uint64_t seed);

  void crash(std::size_t index) { nodes[index].known.reset(); }
  /// Starts the daemon anew; it knows only itself and, as a hint, the instance `contact`.
  void start(std::size_t index, std::size_t contact);
  void run(duration time);

  /// Daemons that run and hold this state of the instance; `dead` includes removed records.
  [[nodiscard]] std::size_t holding(std::size_t subject, instance_state state) const;
  [[nodiscard]] std::size_t running() const;
  /// Whether all running daemons hold exactly the running ones as ready.
  [[nodiscard]] bool converged() const;

  std::vector<node> nodes;
  time_point now{std::chrono::hours(1)};
  /// Whether a message passes from one instance to the other; by default each does.
  std::function<bool(std::size_t, std::size_t)> passes = [](std::size_t, std::size_t) {
    return true;
  };

 private:
  struct transit {
    time_point arrives;
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t from_incarnation = 0;
    bool is_reply = false;
    wire::message content;
  };

  void advance(std::size_t index);
  void update_links(std::size_t index);
  void send_gossip(std::size_t index);
  void send(std::size_t from, const instance_name& to, wire::message content,
            bool is_reply = false);
  void deliver(const transit& one);
  void deliver_records(std::size_t index, const instance_name& from,
                       const std::vector<instance_record>& changed);

  std::size_t domains_;
  random_source random_;
  std::deque<transit> network_;
  std::map<instance_name, std::size_t> index_of_;
};

}  // namespace crocusdoor

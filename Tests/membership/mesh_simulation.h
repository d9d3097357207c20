#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "membership/membership_protocol.h"
#include "wire/message.h"

namespace crocusdoor {

/// The record of instance number `index` in one of `domains` failure domains.
instance_record make_record(std::size_t index, std::size_t domains = 3);

/// Daemons on a virtual clock that exchange the messages of their membership protocols.
class mesh_simulation {
 public:
  static constexpr duration step = std::chrono::milliseconds(100);  ///< Also the one-way latency.

  struct node {
    std::unique_ptr<membership_protocol> daemon;  ///< Empty while it does not run.
    std::uint64_t incarnation = 1;
    std::uint64_t record_bytes = 0;  ///< Sent in `records` messages.

    [[nodiscard]] directory& known() const { return daemon->known(); }
  };

  /// `count` daemons that all know each other and are ready.
  mesh_simulation(std::size_t count, std::size_t domains, std::uint64_t seed);

  void crash(std::size_t index) { nodes[index].daemon.reset(); }
  /// Starts the daemon anew; it knows only itself and, as a hint, the instance `contact`.
  void start(std::size_t index, std::size_t contact);
  void run(duration time);

  /// Daemons that run and hold this state of the instance; `dead` includes removed records.
  [[nodiscard]] std::size_t holding(std::size_t subject, instance_state state) const;
  [[nodiscard]] std::size_t running() const;
  /// Record bytes sent so far by a running daemon on average.
  [[nodiscard]] std::uint64_t mean_record_bytes() const;
  /// Whether all running daemons hold exactly the running ones as ready.
  [[nodiscard]] bool converged() const;

  std::vector<node> nodes;
  time_point now{std::chrono::hours(1)};
  /// Whether a message passes from one instance to the other; by default each does.
  std::function<bool(std::size_t, std::size_t)> passes = [](std::size_t, std::size_t) {
    return true;
  };
  /// Messages arrive up to this much late, each on its own, and one in four arrives twice.
  duration disorder{0};

 private:
  struct transit {
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t from_incarnation = 0;
    wire::message content;
  };

  void send(std::size_t from, const std::vector<outgoing_message>& messages);
  void deliver(const transit& one);

  std::size_t domains_;
  random_source random_;
  std::multimap<time_point, transit> network_;  ///< By arrival.
  std::map<instance_name, std::size_t> index_of_;
};

}  // namespace crocusdoor

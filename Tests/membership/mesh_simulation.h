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

/// Several membership protocols that exchange messages over a simulated network on a virtual clock.
class mesh_simulation {
 public:
  static constexpr duration step =
      std::chrono::milliseconds(100);  ///< Time between two ticks, and the one-way latency.

  struct node {
    std::unique_ptr<membership_protocol> daemon;  ///< Null while the daemon is not running.
    std::uint64_t incarnation = 1;
    std::uint64_t record_bytes = 0;  ///< Bytes of the records sent in `records` messages.

    [[nodiscard]] directory& known() const { return daemon->known(); }
  };

  /// Starts `count` daemons that are ready and have the records of all others.
  mesh_simulation(std::size_t count, std::size_t domains, std::uint64_t seed);

  void crash(std::size_t index) { nodes[index].daemon.reset(); }
  /// Starts the daemon with a new incarnation; it has only its own record and the instance
  /// `contact` as a hint.
  void start(std::size_t index, std::size_t contact);
  void run(duration time);

  /// Number of running daemons whose record of the instance has this state; a missing record counts
  /// as `dead`.
  [[nodiscard]] std::size_t count_with_state(std::size_t subject, instance_state state) const;
  [[nodiscard]] std::size_t running() const;
  /// Mean of the record bytes that a running daemon has sent so far.
  [[nodiscard]] std::uint64_t mean_record_bytes() const;
  /// Whether, for all running daemons, the running ones are ready and the others dead.
  [[nodiscard]] bool converged() const;

  std::vector<node> nodes;
  time_point now{std::chrono::hours(1)};
  /// Whether the network delivers a message from the first instance to the second; by default
  /// always.
  std::function<bool(std::size_t, std::size_t)> delivers = [](std::size_t, std::size_t) {
    return true;
  };
  /// Maximum random delay of each message. If it is not zero, one message in four arrives twice.
  duration maximum_delay{0};

 private:
  struct message_in_flight {
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t from_incarnation = 0;
    wire::message content;
  };

  void send(std::size_t from, const std::vector<outgoing_message>& messages);
  void deliver(const message_in_flight& message);

  std::size_t domains_;
  random_source random_;
  std::multimap<time_point, message_in_flight> network_;  ///< By time of arrival.
  std::map<instance_name, std::size_t> index_of_;
};

}  // namespace crocusdoor

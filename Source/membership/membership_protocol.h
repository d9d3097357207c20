#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/random_source.h"
#include "link/heartbeat_monitor.h"
#include "membership/directory.h"
#include "membership/gossip_queue.h"
#include "wire/message.h"

namespace crocusdoor {

/// A message to send to another instance.
struct outgoing_message {
  instance_name to;
  wire::message content;
};

/// Periods of the membership protocol.
struct membership_protocol_limits {
  directory_limits known;
  gossip_limits gossip;
  heartbeat_limits heartbeats;
  duration gossip_round = std::chrono::milliseconds(200);
  duration comparison = std::chrono::seconds(30);  ///< Between comparisons with a random neighbour.
  duration contact = std::chrono::seconds(2);      ///< Between attempts to reach others.
  std::size_t contacts_at_once = 3;
};

/// The membership messages of one daemon: heartbeats on the control links, suspicion, gossip,
/// comparison of directories, contacts. It says what to send; the shell opens links as needed.
///
/// Call `tick` about ten times a second. Pass each `hello`, `heartbeat`, `heartbeat_answer`,
/// `records` and `records_request` to `receive`. Send what both return: open a link where there is
/// none, and drop the message if that fails. The shell fills in the configuration fields of `hello`
/// and of heartbeats. Keep a link to each of `neighbours`.
class membership_protocol {
 public:
  membership_protocol(const instance_record& self, const random_source& random,
                      const membership_protocol_limits& limits = {});

  /// The directory, to read and to add hints to. Change it only through the protocol otherwise.
  [[nodiscard]] directory& known() noexcept { return known_; }
  [[nodiscard]] const directory& known() const noexcept { return known_; }

  /// Announces another state of this instance.
  void set_state(instance_state state, time_point now);

  /// Advances the clock.
  [[nodiscard]] std::vector<outgoing_message> tick(time_point now);

  /// A message arrived from this incarnation of an instance, as its `hello` on the link said.
  [[nodiscard]] std::vector<outgoing_message> receive(const instance_name& from,
                                                      std::uint64_t incarnation,
                                                      const wire::message& content, time_point now);

  /// The connection to an instance was closed or refused. Its heartbeats go on unanswered until a
  /// new connection is open, so a crash is noticed as fast as a silence, and no faster: a restart
  /// that takes less than the time-out is not a death.
  void link_closed(const instance_name& peer);

  /// Instances to keep control links to.
  [[nodiscard]] std::vector<instance_name> neighbours() const;
  /// Round-trip time of a control link, if it was measured.
  [[nodiscard]] std::optional<duration> round_trip(const instance_name& peer) const;

 private:
  using messages = std::vector<outgoing_message>;
  struct control_link {
    heartbeat_monitor monitor;
    std::uint64_t incarnation = 0;  ///< Of the peer, from its `hello`; 0 before.
  };

  void update_links(time_point now);
  void check_link(const instance_name& peer, control_link& link, time_point now, messages& out);
  void send_gossip(messages& out);
  void compare(time_point now, messages& out);
  void ask_to_compare(const instance_name& peer, time_point now, messages& out);
  void contact(time_point now, messages& out);
  void greet(const instance_name& peer, time_point now, messages& out);
  void heard(const instance_name& peer, std::uint64_t incarnation, time_point now, messages& out);
  void take_over(const instance_name& from, const std::vector<instance_record>& changed,
                 time_point now);
  void on(const wire::hello& greeting, const instance_name& from, std::uint64_t incarnation,
          time_point now, messages& out);
  void on(const wire::heartbeat_answer& answer, const instance_name& from,
          std::uint64_t incarnation, time_point now, messages& out);
  void on(const wire::records_request& request, const instance_name& from, messages& out) const;

  membership_protocol_limits limits_;
  directory known_;
  gossip_queue queue_;
  random_source random_;
  std::map<instance_name, control_link> links_;
  std::map<instance_name, time_point> greeted_;  ///< When a `hello` was sent last.
  std::uint64_t linked_revision_ = 0;
  time_point next_round_;
  time_point next_comparison_;
  time_point comparison_allowed_;
  time_point next_contact_;
};

}  // namespace crocusdoor

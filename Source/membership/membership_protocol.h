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

/// Intervals and limits of the membership protocol.
struct membership_protocol_limits {
  directory_limits directory;
  gossip_limits gossip;
  heartbeat_limits heartbeats;
  duration gossip_interval = std::chrono::milliseconds(200);
  duration comparison_interval =
      std::chrono::seconds(30);  ///< Between comparisons with a random neighbour.
  duration contact_interval =
      std::chrono::seconds(2);  ///< Between attempts to connect to others; randomised.
  std::size_t contacts_at_once = 3;
};

/// The membership protocol of one daemon without its I/O: heartbeats on the control links,
/// suspicion, gossip, comparison of directories, and connections to hints and dead instances. It
/// returns the messages to send; the calling code opens links and sends them.
///
/// Call `tick` about ten times a second. Pass each `hello`, `heartbeat`, `heartbeat_answer`,
/// `records` and `records_request` to `receive`. Send the messages that both return: open a link
/// where there is none, and drop the message if that fails. The calling code fills in the
/// configuration fields of `hello` and of heartbeats. Keep a link to each of `neighbours`.
class membership_protocol {
 public:
  membership_protocol(const instance_record& self, const random_source& random,
                      const membership_protocol_limits& limits = {});

  /// The directory, for reading and for `add_hint`. All other changes must go through the protocol.
  [[nodiscard]] directory& known() noexcept { return directory_; }
  [[nodiscard]] const directory& known() const noexcept { return directory_; }

  /// Announces another state of this instance.
  void set_state(instance_state state, time_point now);

  /// Runs everything that is due at `now` and returns the messages to send.
  [[nodiscard]] std::vector<outgoing_message> tick(time_point now);

  /// Processes a message of an instance; `incarnation` is the one that the `hello` on its link
  /// named.
  [[nodiscard]] std::vector<outgoing_message> receive(const instance_name& from,
                                                      std::uint64_t incarnation,
                                                      const wire::message& content, time_point now);

  /// The connection to an instance was closed or refused. Its heartbeat timeout keeps running until
  /// a new connection is open. A crash is therefore detected as fast as a missing response, and no
  /// faster, so that a restart shorter than the timeout is not taken for a death.
  void link_closed(const instance_name& peer);

  /// Instances to keep control links to.
  [[nodiscard]] std::vector<instance_name> neighbours() const;
  /// Round-trip time of a control link, if it was measured.
  [[nodiscard]] std::optional<duration> round_trip(const instance_name& peer) const;

 private:
  using messages = std::vector<outgoing_message>;
  struct control_link {
    heartbeat_monitor monitor;
    std::uint64_t incarnation = 0;  ///< Of the peer, from its `hello`; 0 until that arrives.
  };

  void update_links(time_point now);
  void check_link(const instance_name& peer, control_link& link, time_point now, messages& out);
  void send_gossip(messages& out);
  void compare_with_random_neighbour(time_point now, messages& out);
  void request_comparison(const instance_name& peer, time_point now, messages& out);
  void contact_candidates(time_point now, messages& out);
  void send_hello(const instance_name& peer, time_point now, messages& out);
  void peer_seen(const instance_name& peer, std::uint64_t incarnation, time_point now,
                 messages& out);
  void merge_records(const instance_name& from, const std::vector<instance_record>& changed,
                     time_point now);
  void on(const wire::hello& hello, const instance_name& from, std::uint64_t incarnation,
          time_point now, messages& out);
  void on(const wire::heartbeat_answer& answer, const instance_name& from,
          std::uint64_t incarnation, time_point now, messages& out);
  void on(const wire::records_request& request, const instance_name& from, messages& out) const;

  membership_protocol_limits limits_;
  directory directory_;
  gossip_queue queue_;
  random_source random_;
  std::map<instance_name, control_link> links_;
  std::map<instance_name, time_point> hello_sent_at_;  ///< When a `hello` was sent last.
  std::uint64_t links_revision_ = 0;
  time_point next_gossip_;
  time_point next_comparison_;
  time_point comparison_allowed_;
  time_point next_contact_;
};

}  // namespace crocusdoor

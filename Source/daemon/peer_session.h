#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "link/heartbeat_schedule.h"
#include "link/link_traffic.h"
#include "link/transit_delay.h"
#include "membership/instance_record.h"
#include "transport/event_loop.h"
#include "transport/peer_link.h"
#include "wire/compact_codec.h"
#include "wire/message.h"
#include "wire/shared_message.h"

namespace crocusdoor {

/// One link to another daemon, with its exchange of `hello` messages and its heartbeats. The link
/// owns the session through its handlers until it has closed.
class peer_session : public std::enable_shared_from_this<peer_session> {
 public:
  struct context {
    event_loop& loop;
    instance_name self;
    failure_domain domain;  ///< Of this daemon.
    /// Intervals of the heartbeats; the idle interval may depend on the number of links.
    std::function<heartbeat_intervals()> intervals;
    std::function<wire::hello(const instance_name& peer)> make_hello;
    /// Number of links opened so far, from which each link gets its number.
    std::shared_ptr<std::uint64_t> links_opened;
    std::shared_ptr<link_traffic> traffic;
    std::shared_ptr<const wire::compact_codec> codec;
    /// Current configuration version of this daemon.
    std::function<version_number()> configuration_version;
    std::function<digest()> configuration_digest;
    /// Load to report in heartbeats; empty if the daemon has none to report.
    std::function<std::optional<load_report>()> load;
    /// Era of the platform's store to report in heartbeats; empty if there is none to report.
    std::function<std::optional<std::uint64_t>()> store_era;
    /// Whether heartbeats get a response. If not, each end relies on the heartbeats that the other
    /// end sends itself.
    bool respond_to_heartbeats;
    std::function<void(const std::shared_ptr<peer_session>&, const wire::hello&)> established;
    std::function<void(const std::shared_ptr<peer_session>&, const wire::envelope&)> received;
    std::function<void(const std::shared_ptr<peer_session>&, const std::string& reason)> ended;
    /// The address of a dialled instance now belongs to another instance.
    std::function<void(const instance_name& dialled)> peer_replaced;
  };

  [[nodiscard]] static std::shared_ptr<peer_session> connect(
      const std::shared_ptr<const context>& shared, const ip_endpoint& remote,
      const instance_name& expected, duration timeout);
  [[nodiscard]] static std::shared_ptr<peer_session> accept(
      const std::shared_ptr<const context>& shared, std::intptr_t descriptor);

  /// Name of the other daemon; empty before its `hello` has arrived, unless it was dialled by name.
  [[nodiscard]] const instance_name& peer() const noexcept { return peer_; }
  [[nodiscard]] bool established() const noexcept { return established_; }
  [[nodiscard]] const std::shared_ptr<peer_link>& link() const noexcept { return link_; }
  [[nodiscard]] std::uint64_t number() const noexcept { return number_; }
  /// Whether the other end has not acknowledged all of the last response sent to it.
  [[nodiscard]] bool holds_response();
  /// Time since the last message from the other end.
  [[nodiscard]] duration silence() const { return schedule_.silence(shared_->loop.now()); }

  bool send(wire::message content);
  bool send(const wire::shared_message& content);
  void close(const std::string& reason);
  /// Sends a heartbeat if one is due, or closes the session if the other end was silent for too
  /// long. Must be called once per busy interval.
  void check_heartbeat();
  /// Sends a heartbeat now, which reports the current configuration version to the other end.
  void announce_version();

 private:
  explicit peer_session(std::shared_ptr<const context> shared)
      : shared_(std::move(shared)),
        number_(++*shared_->links_opened),
        schedule_(shared_->loop.now()) {}

  peer_link::handlers make_handlers();
  void start_hello_timeout();
  void link_opened();
  void message_received(wire::envelope message);
  void accept_hello(const wire::envelope& message, const wire::hello& greeting);
  void link_closed(const std::string& reason);
  bool send_encoded(const wire::message& content, const std::string& payload);

  std::shared_ptr<const context> shared_;
  std::uint64_t number_;
  std::shared_ptr<peer_link> link_;
  instance_name peer_;
  link_scope scope_ = link_scope::unknown;
  bool established_ = false;
  bool peer_reads_deflated_ = false;
  bool sends_compact_ = false;
  std::uint64_t heartbeat_sequence_ = 0;
  /// Bytes sent up to the end of the last response; 0 if the other end has acknowledged it.
  std::uint64_t responses_end_ = 0;
  heartbeat_schedule schedule_;
  transit_delay transit_;
  timer_handle hello_timer_;
};

}  // namespace crocusdoor

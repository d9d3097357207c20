#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "link/heartbeat_schedule.h"
#include "link/transit_delay.h"
#include "membership/instance_record.h"
#include "transport/event_loop.h"
#include "transport/peer_link.h"
#include "wire/message.h"
#include "wire/shared_message.h"

namespace crocusdoor {

/// One link to another daemon after the exchange of `hello` messages, with its heartbeats. A
/// session keeps itself alive through its link.
class peer_session : public std::enable_shared_from_this<peer_session> {
 public:
  struct context {
    event_loop& loop;
    instance_name self;
    /// Times of the heartbeats; the idle interval may depend on the number of links.
    std::function<heartbeat_intervals()> intervals;
    std::function<wire::hello(const instance_name& peer)> make_hello;
    /// Links so far, so that each has a number.
    std::shared_ptr<std::uint64_t> links_opened;
    /// Version that the sender holds.
    std::function<version_number()> configuration_version;
    std::function<digest()> configuration_digest;
    /// Load that heartbeats report; empty if the daemon has none to report.
    std::function<std::optional<load_report>()> load;
    /// Whether a heartbeat is answered. If not, each end only listens for the other's.
    bool answer_heartbeats;
    std::function<void(const std::shared_ptr<peer_session>&, const wire::hello&)> established;
    std::function<void(const std::shared_ptr<peer_session>&, const wire::envelope&)> received;
    std::function<void(const std::shared_ptr<peer_session>&, const std::string& reason)> ended;
    /// The address of a dialled instance belongs to another one.
    std::function<void(const instance_name& dialled)> peer_replaced;
  };

  [[nodiscard]] static std::shared_ptr<peer_session> connect(
      const std::shared_ptr<const context>& shared, const ip_endpoint& remote,
      const instance_name& expected);
  [[nodiscard]] static std::shared_ptr<peer_session> accept(
      const std::shared_ptr<const context>& shared, std::intptr_t descriptor);

  /// Name of the other daemon; empty before its `hello` has arrived, unless it was dialled by name.
  [[nodiscard]] const instance_name& peer() const noexcept { return peer_; }
  [[nodiscard]] bool established() const noexcept { return established_; }
  [[nodiscard]] const std::shared_ptr<peer_link>& link() const noexcept { return link_; }
  [[nodiscard]] std::uint64_t number() const noexcept { return number_; }
  /// Time since anything arrived from the other end.
  [[nodiscard]] duration silence() const { return schedule_.silence(shared_->loop.now()); }

  bool send(wire::message content);
  bool send(const wire::shared_message& content);
  void close(const std::string& reason);
  /// Sends the heartbeat that is due, or closes a session that has fallen silent. Call it at the
  /// busy interval.
  void check_heartbeat();
  /// Sends a heartbeat now, so that the other end learns the current version at once.
  void announce_version();

 private:
  explicit peer_session(std::shared_ptr<const context> shared)
      : shared_(std::move(shared)),
        number_(++*shared_->links_opened),
        schedule_(shared_->loop.now()) {}

  peer_link::handlers make_handlers();
  void watch_for_hello();
  void link_opened();
  void message_received(wire::envelope value);
  void accept_hello(const wire::envelope& value, const wire::hello& greeting);
  void link_closed(const std::string& reason);

  std::shared_ptr<const context> shared_;
  std::uint64_t number_;
  std::shared_ptr<peer_link> link_;
  instance_name peer_;
  bool established_ = false;
  bool peer_reads_deflated_ = false;
  std::uint64_t heartbeat_sequence_ = 0;
  heartbeat_schedule schedule_;
  transit_delay transit_;
  timer_handle hello_timer_;
};

}  // namespace crocusdoor

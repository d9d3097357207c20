#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "daemon/peer_links.h"
#include "daemon/peer_session.h"
#include "transport/event_loop.h"
#include "transport/tcp_listener.h"

namespace crocusdoor {

/// All links of this daemon to other daemons. There may be several sessions with the same peer,
/// when both ends connect at once or one session has become silent; a message is sent over the open
/// one that received something most recently.
class peer_mesh : public peer_links {
 public:
  struct configuration {
    instance_name self;
    ip_endpoint listen;
    duration heartbeat_interval{};
    /// Idle links send heartbeats at an interval of this times the number of linked peers, if that
    /// is longer than `heartbeat_interval`. The rate of heartbeats over all idle links is then
    /// independent of their number.
    duration idle_interval_per_link{};
    duration heartbeat_timeout{};
    duration first_retry_delay{};
    duration max_retry_delay{};
    bool respond_to_heartbeats = true;
    /// How long this daemon waits before it dials a permanent peer whose name sorts before its own.
    /// The peer dials first, so that the two daemons do not both dial.
    duration passive_delay{};
    /// Failure domain of this daemon, to tell apart the traffic to other ones.
    failure_domain domain{};
    /// Names of headers that most calls have, for the dictionary of compact messages.
    std::vector<std::string> frequent_texts{};
  };

  struct handlers {
    std::function<wire::hello(const instance_name& peer)> make_hello;
    std::function<version_number()> configuration_version;
    std::function<digest()> configuration_digest;
    /// Endpoint of an instance, or nothing if it is not known.
    std::function<std::optional<ip_endpoint>(const instance_name&)> find_endpoint;
    std::function<void(const instance_name&, const wire::hello&)> peer_established;
    /// The last session to a peer has ended.
    std::function<void(const instance_name&, const std::string& reason)> peer_lost;
    /// A dial of an instance has failed.
    std::function<void(const instance_name&)> dial_failed;
    /// A session to a peer has ended while another one is still open.
    std::function<void(const instance_name&)> session_replaced = nullptr;
    /// A session to a peer has ended, whether or not it was the last one. Called before `peer_lost`
    /// and `session_replaced`.
    std::function<void(const instance_name&, std::uint64_t link)> link_lost = nullptr;
    /// A session has ended although the peer had not acknowledged all responses sent to it. Called
    /// before `link_lost`.
    std::function<void(const instance_name&, const std::string& reason)> responses_unsent = nullptr;
    /// The address at which an instance was dialled now belongs to another instance.
    std::function<void(const instance_name&)> peer_replaced = nullptr;
    /// Load to report in heartbeats.
    std::function<std::optional<load_report>()> load = nullptr;
    /// Era of the platform's store to report in heartbeats.
    std::function<std::optional<std::uint64_t>()> store_era = nullptr;
    /// Called for each message, before it is dispatched, with the version that the sender reports.
    std::function<void(const instance_name&, version_number)> version_reported;
  };

  peer_mesh(event_loop& loop, random_source& random, configuration settings, handlers callbacks);
  /// Closes all links; no handler is called any more.
  ~peer_mesh() override;
  peer_mesh(const peer_mesh&) = delete;
  peer_mesh& operator=(const peer_mesh&) = delete;

  [[nodiscard]] message_dispatcher& dispatcher() noexcept override { return dispatcher_; }

  /// Opens a link to an endpoint whose instance is not known yet.
  void dial(const ip_endpoint& remote);
  void ensure_link(const instance_name& peer) override;
  /// Keeps links to exactly these instances open, with backoff between attempts.
  void set_permanent_peers(std::set<instance_name> peers);

  bool send(const instance_name& peer, const wire::message& content) override;
  /// The same for a message that is sent to several peers and encoded once.
  bool send(const instance_name& peer, const wire::shared_message& content);
  /// Reads and dispatches the data of a peer that has already been received, without waiting for
  /// the event loop. Returns whether the link of this number is still open. Must not be called
  /// while a message of the peer is being handled.
  bool read_received_data(const instance_name& peer, std::uint64_t link);
  /// Sends to all linked peers except `except`.
  void send_to_all(const wire::message& content, const instance_name& except = {});
  void announce_version();
  /// Reports the current configuration version to one peer at once.
  void announce_version(const instance_name& peer);

  [[nodiscard]] bool linked(const instance_name& peer) const override;
  [[nodiscard]] std::uint64_t incarnation_of(const instance_name& peer) const override;
  [[nodiscard]] std::vector<instance_name> linked_peers() const;
  [[nodiscard]] const link_traffic& traffic() const noexcept { return *context_->traffic; }
  [[nodiscard]] std::uint64_t bytes_sent() const;
  [[nodiscard]] std::uint64_t bytes_received() const;
  /// Bytes that wait in the buffers of all links.
  [[nodiscard]] std::size_t unsent_output() const;
  /// Number of links whose peer has not acknowledged all responses sent to it.
  [[nodiscard]] std::size_t links_with_responses() const;
  [[nodiscard]] std::uint64_t refused_messages() const;

 private:
  using session_list = std::vector<std::shared_ptr<peer_session>>;
  template <typename Action>
  auto while_alive(Action action) const;
  [[nodiscard]] session_list all_sessions() const;
  using link_counter = std::uint64_t (peer_link::*)() const noexcept;

  std::shared_ptr<peer_session> best_session(const instance_name& peer) const;
  void connection_accepted(std::intptr_t descriptor);
  void session_established(const std::shared_ptr<peer_session>& session,
                           const wire::hello& greeting);
  void session_ended(const std::shared_ptr<peer_session>& session, const std::string& reason);
  void maintain_permanent_links();
  /// Time after which a dial of the peer is given up.
  [[nodiscard]] duration connect_timeout(const instance_name& peer) const;
  [[nodiscard]] heartbeat_intervals intervals() const;
  void check_heartbeats();
  /// Sum of a counter over the closed and the open links.
  [[nodiscard]] std::uint64_t total_of(std::uint64_t closed_links, link_counter counter) const;

  event_loop& loop_;
  random_source& random_;
  configuration settings_;
  handlers callbacks_;
  /// Expires with this object. Links exist until their connections have closed, which may be later,
  /// and must not call back then.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  message_dispatcher dispatcher_;
  std::shared_ptr<const peer_session::context> context_;
  std::map<instance_name, session_list> sessions_;
  std::map<instance_name, std::shared_ptr<peer_session>> dialled_sessions_;
  std::set<std::shared_ptr<peer_session>> unidentified_sessions_;
  std::set<instance_name> permanent_peers_;
  std::map<instance_name, std::uint64_t> incarnations_;
  std::map<instance_name, time_point> next_dial_;
  std::map<instance_name, int> failed_dials_;
  timer_handle maintenance_timer_;
  timer_handle heartbeat_timer_;
  std::unique_ptr<tcp_listener> listener_;
  std::uint64_t closed_bytes_sent_ = 0;
  std::uint64_t closed_bytes_received_ = 0;
  std::uint64_t closed_refused_messages_ = 0;
};

}  // namespace crocusdoor

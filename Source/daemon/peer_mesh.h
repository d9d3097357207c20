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

/// All links of this daemon to other daemons. A peer may be reached over several sessions at the
/// same time, when both ends connect at once or one has gone silent; messages take the one that was
/// heard most recently.
class peer_mesh : public peer_links {
 public:
  struct configuration {
    instance_name self;
    ip_endpoint listen;
    duration heartbeat_interval{};
    /// Each link adds this much to the heartbeat interval of links that carry nothing else, so that
    /// heartbeats cost the same with any number of links.
    duration idle_interval_per_link{};
    duration heartbeat_timeout{};
    duration first_retry_delay{};
    duration longest_retry_delay{};
    bool answer_heartbeats = true;
    /// How long a link to a permanent peer with a lesser name is left to the peer to open, so that
    /// two daemons do not both dial.
    duration passive_delay{};
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
    /// An attempt to open a link to an instance has failed.
    std::function<void(const instance_name&)> dial_failed;
    /// A session to a peer has ended while another one goes on.
    std::function<void(const instance_name&)> session_replaced = nullptr;
    /// One session to a peer has ended, the last one or not; called before the handlers above.
    std::function<void(const instance_name&, std::uint64_t link)> link_lost = nullptr;
    /// The address of an instance belongs to another one now.
    std::function<void(const instance_name&)> peer_replaced = nullptr;
    /// Load that heartbeats report.
    std::function<std::optional<load_report>()> load = nullptr;
    /// Called for each message before it is dispatched.
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
  /// Keeps links to exactly these instances open, with back-off between attempts.
  void set_permanent_peers(std::set<instance_name> peers);

  bool send(const instance_name& peer, const wire::message& content) override;
  /// The same for a message that others get too.
  bool send(const instance_name& peer, const wire::shared_message& content);
  /// Reads what a peer has sent already, without waiting for the loop to come to it; whether the
  /// link of this number is still open. Not to be called while a message of the peer is handled.
  bool read_received_data(const instance_name& peer, std::uint64_t link);
  /// Sends to every linked peer but one.
  void send_to_all(const wire::message& content, const instance_name& except = {});
  void announce_version();
  /// Tells one peer the version in force at once.
  void announce_version(const instance_name& peer);

  [[nodiscard]] bool linked(const instance_name& peer) const override;
  [[nodiscard]] std::uint64_t incarnation_of(const instance_name& peer) const override;
  [[nodiscard]] std::vector<instance_name> linked_peers() const;
  [[nodiscard]] std::uint64_t bytes_sent() const;
  [[nodiscard]] std::uint64_t bytes_received() const;
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
  [[nodiscard]] heartbeat_intervals intervals() const;
  void check_heartbeats();
  /// Sum of a counter over the closed and the open links.
  [[nodiscard]] std::uint64_t total_of(std::uint64_t closed_links, link_counter counter) const;

  event_loop& loop_;
  random_source& random_;
  configuration settings_;
  handlers callbacks_;
  /// Links live until their connections have closed, which may be after this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  message_dispatcher dispatcher_;
  std::shared_ptr<const peer_session::context> context_;
  std::map<instance_name, session_list> sessions_;
  std::map<instance_name, std::shared_ptr<peer_session>> dialling_;
  std::set<std::shared_ptr<peer_session>> anonymous_;
  std::set<instance_name> permanent_;
  std::map<instance_name, std::uint64_t> incarnations_;
  std::map<instance_name, time_point> next_attempt_;
  std::map<instance_name, int> failed_attempts_;
  timer_handle maintenance_;
  timer_handle heartbeat_timer_;
  std::unique_ptr<tcp_listener> listener_;
  std::uint64_t closed_bytes_sent_ = 0;
  std::uint64_t closed_bytes_received_ = 0;
  std::uint64_t closed_refused_messages_ = 0;
};

}  // namespace crocusdoor

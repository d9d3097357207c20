#pragma once

#include <functional>

#include "daemon/message_dispatcher.h"
#include "mesh/watcher_group.h"
#include "sidecar/configuration_follower.h"
#include "wire/shared_message.h"

namespace crocusdoor {

/// Spreads configurations between this daemon and its peers: says who waits at the platform's
/// store, passes on what the store has brought, and answers peers that ask.
class configuration_exchange {
 public:
  struct handlers {
    std::function<void(const route_table_pointer&)> adopted;
    /// Sends over an open link; does nothing if there is none.
    std::function<void(const instance_name&, const wire::shared_message&)> send;
    /// Tells a peer the version in force at once.
    std::function<void(const instance_name&)> announce_version;
  };

  configuration_exchange(const configuration_context& shared, mesh_store& store,
                         watcher_group group, handlers callbacks);

  /// Takes the messages of peers that concern configurations.
  void connect(message_dispatcher& dispatcher);
  void start() { follower_.start(); }
  /// Leaves the store to other daemons, because this one is about to end.
  void leave() { group_.leave(); }

  /// A link to a peer is open, or the peer has changed.
  void set_peer(const instance_name& peer, watcher_group::member description);
  void peer_lost(const instance_name& peer);
  /// A peer holds this version.
  void version_seen(const instance_name& peer, std::uint64_t version);

  [[nodiscard]] const route_table_pointer& current() const noexcept { return follower_.current(); }
  [[nodiscard]] std::uint64_t version() const noexcept { return follower_.version(); }
  [[nodiscard]] bool is_watcher() const { return group_.is_watcher(); }

 private:
  void pass_on(const configuration_change* change) const;
  [[nodiscard]] const wire::shared_message& whole_message();

  watcher_group group_;
  handlers callbacks_;
  configuration_follower follower_;
  /// The version in force as peers get it that ask for it, and its number.
  std::optional<wire::shared_message> whole_;
  std::uint64_t whole_version_ = 0;
};

}  // namespace crocusdoor

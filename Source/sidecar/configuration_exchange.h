#pragma once

#include <functional>

#include "daemon/message_dispatcher.h"
#include "mesh/watcher_group.h"
#include "sidecar/configuration_follower.h"
#include "sidecar/freshness_exchange.h"
#include "wire/shared_message.h"

namespace crocusdoor {

/// Distributes configurations between this daemon and its peers: determines the watchers of the
/// platform's store, forwards the changes that the store returns, and responds to requests of
/// peers.
class configuration_exchange {
 public:
  struct handlers {
    std::function<void(const route_table_pointer&)> adopted;
    /// Sends over an open link; does nothing if no link is open.
    std::function<void(const instance_name&, const wire::shared_message&)> send;
    /// Sends the number of the current version to a peer immediately.
    std::function<void(const instance_name&)> announce_version;
  };

  configuration_exchange(const configuration_context& shared, mesh_store& store,
                         watcher_group group, handlers callbacks);

  /// Registers the handlers of the messages about configurations.
  void connect(message_dispatcher& dispatcher);
  void start() { follower_.start(); }
  /// Stops being a watcher, because this process is about to end.
  void leave() { group_.leave(); }

  /// The store has gone back to an older copy.
  void store_era_changed() { follower_.store_era_changed(); }
  /// A link to a peer is open, or the record of the peer has changed.
  void set_peer(const instance_name& peer, watcher_group::member description);
  void peer_lost(const instance_name& peer);
  /// A peer reports this as its current version.
  void version_seen(const instance_name& peer, std::uint64_t version);

  [[nodiscard]] const route_table_pointer& current() const noexcept { return follower_.current(); }
  [[nodiscard]] std::uint64_t version() const noexcept { return follower_.version(); }
  [[nodiscard]] bool is_watcher() const { return group_.is_watcher(); }
  /// Proofs that the current version is the newest one.
  [[nodiscard]] freshness_exchange& freshness() noexcept { return freshness_; }

 private:
  void distribute(const configuration_change* change) const;
  [[nodiscard]] const wire::shared_message& configuration_message();

  watcher_group group_;
  handlers callbacks_;
  freshness_exchange freshness_;
  configuration_follower follower_;
  /// Message with the current configuration for peers that request it, and its version.
  std::optional<wire::shared_message> message_;
  std::uint64_t message_version_ = 0;
};

}  // namespace crocusdoor

#include "sidecar/configuration_exchange.h"

#include <algorithm>
#include <utility>

namespace crocusdoor {

configuration_exchange::configuration_exchange(const configuration_context& shared,
                                               mesh_store& store, watcher_group group,
                                               handlers callbacks)
    : group_(std::move(group)),
      callbacks_(std::move(callbacks)),
      freshness_(shared.timers, shared.random, shared.log, shared.freshness, group_,
                 {[clock = shared] { return clock.proof_time(); },
                  [this](const instance_name& peer, const wire::message& content) {
                    callbacks_.send(peer, wire::shared_message(content));
                  },
                  [this] { follower_.read(); }}),
      follower_(shared, store,
                {[this](const route_table_pointer& table) {
                   callbacks_.adopted(table);
                   freshness_.configuration_adopted(*table);
                 },
                 [this] { return group_.total_watchers(); }, [this] { return group_.is_watcher(); },
                 [this](const instance_name& peer) {
                   callbacks_.send(peer, wire::shared_message(wire::whole_configuration_request{}));
                 },
                 [this](const configuration_change* change) { distribute(change); },
                 [this](std::uint64_t version, time_point at) {
                   freshness_.proved_by_store(version, at);
                 },
                 [this] { return freshness_.enabled(); }}) {}

void configuration_exchange::connect(message_dispatcher& dispatcher) {
  freshness_.connect(dispatcher);
  dispatcher.on<wire::whole_configuration_request>([this](const instance_name& from, const auto&) {
    if (current() != nullptr) {
      callbacks_.send(from, configuration_message());
    }
  });
  dispatcher.on<wire::whole_configuration>([this](const instance_name& from, const auto& message) {
    follower_.configuration_received(from, message.content);
  });
  dispatcher.on<configuration_change>([this](const instance_name& from, const auto& change) {
    follower_.change_received(from, change);
  });
}

const wire::shared_message& configuration_exchange::configuration_message() {
  if (!message_.has_value() || message_version_ != version()) {
    message_.emplace(wire::whole_configuration{current()->content()});
    message_version_ = version();
  }
  return *message_;
}

void configuration_exchange::set_peer(const instance_name& peer,
                                      watcher_group::member description) {
  group_.set_member(peer, std::move(description));
  follower_.watchers_changed();
}

void configuration_exchange::peer_lost(const instance_name& peer) {
  group_.remove(peer);
  follower_.peer_lost(peer);
  follower_.watchers_changed();
}

void configuration_exchange::version_seen(const instance_name& peer, std::uint64_t version) {
  freshness_.version_reported(peer, version);
  // Every message of a peer contains its version, which nearly always is the current one here.
  if (version <= this->version()) {
    return;
  }
  const auto found = group_.members().find(peer);
  const bool same_domain =
      found != group_.members().end() && found->second.domain == group_.own_domain();
  follower_.version_seen(peer, same_domain, version);
}

/// Sends a change that the store has returned to the daemons of the own failure domain, and
/// announces the version to the daemons of the other failure domains.
void configuration_exchange::distribute(const configuration_change* change) const {
  const std::vector<instance_name> watchers = group_.watchers();
  std::optional<wire::shared_message> message;
  if (change != nullptr) {
    message.emplace(*change);
  }
  const bool first = group_.is_first_watcher();
  for (const auto& [peer, member] : group_.members()) {
    const bool same_domain = member.domain == group_.own_domain();
    const bool peer_watches = std::find(watchers.begin(), watchers.end(), peer) != watchers.end();
    if (same_domain && message.has_value() && !peer_watches) {
      callbacks_.send(peer, *message);
    } else if (first && !same_domain) {
      callbacks_.announce_version(peer);
    }
  }
}

}  // namespace crocusdoor

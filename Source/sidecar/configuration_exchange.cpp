#include "sidecar/configuration_exchange.h"

#include <algorithm>
#include <utility>

namespace crocusdoor {

configuration_exchange::configuration_exchange(const configuration_context& shared,
                                               mesh_store& store, watcher_group group,
                                               handlers callbacks)
    : group_(std::move(group)),
      callbacks_(std::move(callbacks)),
      follower_(shared, store,
                {callbacks_.adopted, [this] { return group_.fleet_watchers(); },
                 [this] { return group_.is_watcher(); },
                 [this](const instance_name& peer) {
                   callbacks_.send(peer, wire::shared_message(wire::whole_configuration_request{}));
                 },
                 [this](const configuration_change* change) { pass_on(change); }}) {}

void configuration_exchange::connect(message_dispatcher& dispatcher) {
  dispatcher.on<wire::whole_configuration_request>([this](const instance_name& from, const auto&) {
    if (current() != nullptr) {
      callbacks_.send(from, whole_message());
    }
  });
  dispatcher.on<wire::whole_configuration>([this](const instance_name& from, const auto& held) {
    follower_.whole_received(from, held.content);
  });
  dispatcher.on<configuration_change>([this](const instance_name& from, const auto& change) {
    follower_.change_received(from, change);
  });
}

const wire::shared_message& configuration_exchange::whole_message() {
  if (!whole_.has_value() || whole_version_ != version()) {
    whole_.emplace(wire::whole_configuration{current()->content()});
    whole_version_ = version();
  }
  return *whole_;
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
  // Every message of a peer says its version, and nearly always the one in force here.
  if (version <= this->version()) {
    return;
  }
  const auto found = group_.members().find(peer);
  const bool same_domain =
      found != group_.members().end() && found->second.domain == group_.own_domain();
  follower_.version_seen(peer, same_domain, version);
}

/// Gives a version that the store has brought to the own failure domain, and lets all others know
/// that it exists.
void configuration_exchange::pass_on(const configuration_change* change) const {
  const std::vector<instance_name> chosen = group_.watchers();
  std::optional<wire::shared_message> message;
  if (change != nullptr) {
    message.emplace(*change);
  }
  const bool first = group_.is_first_watcher();
  for (const auto& [peer, one] : group_.members()) {
    const bool same_domain = one.domain == group_.own_domain();
    const bool watches = std::find(chosen.begin(), chosen.end(), peer) != chosen.end();
    if (same_domain && message.has_value() && !watches) {
      callbacks_.send(peer, *message);
    } else if (first && !same_domain) {
      callbacks_.announce_version(peer);
    }
  }
}

}  // namespace crocusdoor

#include "sidecar/peer_finder.h"

#include <utility>

namespace crocusdoor {

namespace {

constexpr duration retry_delay = std::chrono::milliseconds(250);
constexpr duration retry_jitter = std::chrono::milliseconds(750);
/// The entries are listed again at this interval, in case a link could not be opened when an entry
/// was first seen.
constexpr duration relist_interval = std::chrono::seconds(30);
/// Daemons write their entries again within a second after the store has gone back; the listings
/// that follow are spread over another one.
constexpr duration rewrite_time = std::chrono::milliseconds(1'500);
constexpr duration rewrite_list_spread = std::chrono::seconds(1);

}  // namespace

peer_finder::peer_finder(const sidecar_context& shared, mesh_store& store, peer_mesh& mesh,
                         listing_handler first_listed)
    : shared_(shared), store_(store), mesh_(mesh), first_listed_(std::move(first_listed)) {}

void peer_finder::start() {
  announce();
}

void peer_finder::announce() {
  const daemon_entry entry{shared_.self.name, to_string(shared_.options.listen.peers), {}, {}};
  store_.announce_daemon(entry, [this](store_outcome outcome) {
    if (outcome == store_outcome::done) {
      shared_.start.reached(start_phase::entry_stored);
      list();
    } else {
      retry(&peer_finder::announce);
    }
  });
}

void peer_finder::store_era_changed() {
  if (withdrawn_) {
    withdraw();
  } else if (listed_) {
    next_call_ = shared_.loop.after(rewrite_time + shared_.random.up_to(rewrite_list_spread),
                                    [this] { list(); });
  }
}

void peer_finder::withdraw() {
  withdrawn_ = true;
  store_.withdraw_daemon(shared_.self.name, [this](store_outcome outcome) {
    shared_.log.info("entry_withdrawn", {{"outcome", std::string(to_string(outcome))}});
  });
}

void peer_finder::list() {
  store_.list_daemons([this](const daemon_listing& listing) { listing_ended(listing); });
}

void peer_finder::listing_ended(const daemon_listing& listing) {
  if (listing.outcome != store_outcome::done) {
    shared_.log.warning("listing_failed", {{"outcome", std::string(to_string(listing.outcome))},
                                           {"reason", listing.problem},
                                           {"read", listing.daemons.size()}});
  } else if (listing.unreadable_entries > 0) {
    shared_.log.warning("entries_unreadable", {{"entries", listing.unreadable_entries}});
  }
  add_entries(listing.daemons);
  if (listing.outcome != store_outcome::done) {
    update_links();
    retry(&peer_finder::list);
    return;
  }
  if (!listed_) {
    shared_.log.info("daemons_listed", {{"daemons", endpoints_.size()}});
    first_listed_(listing);
  }
  listed_ = true;
  shared_.start.reached(start_phase::peers_listed);
  update_links();
  next_call_ = shared_.loop.after(relist_interval, [this] { list(); });
}

void peer_finder::add_entries(const std::vector<daemon_entry>& entries) {
  for (const daemon_entry& entry : entries) {
    const auto endpoint = text_format<ip_endpoint>::parse(entry.endpoint);
    if (!endpoint.has_value()) {
      shared_.log.warning("entry_unreadable",
                          {{"peer", entry.name.str()}, {"endpoint", entry.endpoint}});
    } else if (entry.name != shared_.self.name && *endpoint == shared_.options.listen.peers) {
      remove_predecessor(entry.name);
    } else if (entry.name != shared_.self.name) {
      endpoints_[entry.name] = *endpoint;
    }
  }
}

void peer_finder::retry(void (peer_finder::*call)()) {
  const duration delay = retry_delay + shared_.random.up_to(retry_jitter);
  next_call_ = shared_.loop.after(delay, [this, call] { (this->*call)(); });
}

/// Removes the entry of a daemon that used this daemon's address before and has not removed its
/// entry itself.
void peer_finder::remove_predecessor(const instance_name& name) {
  store_.withdraw_daemon(name, [this, name](store_outcome outcome) {
    shared_.log.info("predecessor_removed",
                     {{"peer", name.str()}, {"outcome", std::string(to_string(outcome))}});
  });
}

void peer_finder::forget(const instance_name& name) {
  if (endpoints_.erase(name) > 0) {
    shared_.log.info("peer_replaced", {{"peer", name.str()}});
    update_links();
  }
}

void peer_finder::introduce(const instance_name& name, const ip_endpoint& endpoint) {
  endpoints_[name] = endpoint;
  update_links();
}

void peer_finder::update_links() {
  std::set<instance_name> peers;
  for (const auto& [name, endpoint] : endpoints_) {
    peers.insert(name);
  }
  mesh_.set_permanent_peers(std::move(peers));
}

std::optional<ip_endpoint> peer_finder::find(const instance_name& name) const {
  const auto found = endpoints_.find(name);
  return found == endpoints_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace crocusdoor

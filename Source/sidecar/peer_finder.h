#pragma once

#include <functional>
#include <map>
#include <vector>

#include "daemon/peer_mesh.h"
#include "sidecar/sidecar_context.h"

namespace crocusdoor {

/// Finds the other daemons, by their entries in the platform's store and by the records that
/// daemons send when they open a link.
///
/// A daemon lists the entries only after its own entry is stored, so of two daemons that start at
/// the same time at least one finds the other.
class peer_finder {
 public:
  using listing_handler = std::function<void(const daemon_listing&)>;

  /// `first_listed` is called with the entries of the first listing since the start.
  peer_finder(const sidecar_context& shared, mesh_store& store, peer_mesh& mesh,
              listing_handler first_listed);

  void start();
  /// Removes this daemon's entry from the store.
  void withdraw();
  /// The store has gone back to an older copy: entries that were removed may be back, and others
  /// are missing until their daemons have written them again.
  void store_era_changed();
  /// Adds a daemon, or replaces its address.
  void introduce(const instance_name& name, const ip_endpoint& endpoint);
  /// Removes a daemon whose address is now used by another daemon.
  void forget(const instance_name& name);
  [[nodiscard]] std::optional<ip_endpoint> find(const instance_name& name) const;
  /// Number of known daemons, including this one.
  [[nodiscard]] std::size_t daemon_count() const noexcept { return endpoints_.size() + 1; }
  /// Whether the entries of the store have been listed since the start.
  [[nodiscard]] bool listed() const noexcept { return listed_; }

 private:
  void announce();
  void list();
  void listing_ended(const daemon_listing& listing);
  void add_entries(const std::vector<daemon_entry>& entries);
  void retry(void (peer_finder::*call)());
  void update_links();
  void remove_predecessor(const instance_name& name);

  const sidecar_context& shared_;
  mesh_store& store_;
  peer_mesh& mesh_;
  listing_handler first_listed_;
  std::map<instance_name, ip_endpoint> endpoints_;
  bool listed_ = false;
  bool withdrawn_ = false;
  timer_handle next_call_;
};

}  // namespace crocusdoor

#pragma once

#include <map>

#include "daemon/peer_mesh.h"
#include "sidecar/sidecar_context.h"

namespace crocusdoor {

/// Finds the other daemons: through entries in the platform's store, and through the daemons that
/// introduce themselves on a link.
///
/// A daemon lists the entries only after its own is stored, so of two daemons that start at the
/// same moment at least one sees the other.
class peer_finder {
 public:
  peer_finder(const sidecar_context& shared, mesh_store& store, peer_mesh& mesh);

  void start();
  /// Takes this daemon's entry out of the store.
  void withdraw();
  /// A daemon has introduced itself.
  void introduce(const instance_name& name, const ip_endpoint& endpoint);
  /// The address of a daemon belongs to another one now.
  void forget(const instance_name& name);
  [[nodiscard]] std::optional<ip_endpoint> find(const instance_name& name) const;
  /// Daemons that are known, including this one.
  [[nodiscard]] std::size_t daemon_count() const noexcept { return known_.size() + 1; }
  /// Whether the entries of the store have been seen since the start.
  [[nodiscard]] bool listed() const noexcept { return listed_; }

 private:
  void announce();
  void list();
  void listing_ended(const daemon_listing& listing);
  void retry(void (peer_finder::*call)());
  void keep_links();
  void remove_predecessor(const instance_name& name);

  const sidecar_context& shared_;
  mesh_store& store_;
  peer_mesh& mesh_;
  std::map<instance_name, ip_endpoint> known_;
  bool listed_ = false;
  timer_handle next_call_;
};

}  // namespace crocusdoor

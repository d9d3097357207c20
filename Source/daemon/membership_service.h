#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "daemon/daemon_context.h"
#include "daemon/peer_mesh.h"
#include "membership/directory.h"
#include "membership/gossip_queue.h"
#include "membership/platform_budget.h"
#include "platform/platform_client.h"

namespace crocusdoor {

/// Keeps the directory of instances up to date: announces this instance, finds peers, detects
/// failures of neighbours by their links and gossips changes.
class membership_service {
 public:
  membership_service(const daemon_context& shared, peer_mesh& mesh, platform_client& platform,
                     const instance_record& self, std::function<void()> changed);

  [[nodiscard]] const directory& instances() const noexcept { return directory_; }
  [[nodiscard]] bool is_watcher() const;
  [[nodiscard]] std::optional<ip_endpoint> find_endpoint(const instance_name& name) const;
  /// Live or suspected instances other than this one, with their failure domains.
  [[nodiscard]] std::map<instance_name, failure_domain> peers() const;

  /// Announces this instance to the platform and looks for peers.
  void start();
  void set_self_state(instance_state state);
  /// Deletes the announcement of this instance. `done` is called whether the deletion succeeds or
  /// not.
  void withdraw(std::function<void()> done);

  void peer_established(const instance_name& peer, const wire::hello& greeting);
  void peer_lost(const instance_name& peer);
  void merge(const instance_record& record, const instance_name& from);

 private:
  /// Tells the directory that a heartbeat or its response arrived. Without them the directory takes
  /// this daemon for isolated and does not gossip its suspicions.
  void heartbeat_received(const instance_name& peer);
  void tick();
  void gossip();
  void review_neighbours();
  void find_peers();
  void announce();
  void compare_directories();
  void compare_with(const instance_name& peer, bool reply);
  void respond_to_comparison(const instance_name& from, const wire::records_request& request);
  void record_change(const instance_record& record, const instance_name& from);

  const daemon_context& shared_;
  peer_mesh& mesh_;
  platform_client& platform_;
  std::function<void()> changed_;
  directory directory_;
  gossip_queue queue_;
  platform_budget budget_;
  std::uint64_t reviewed_revision_ = 0;
  std::vector<instance_name> neighbours_;
  /// Neighbours with which the directory has been compared since they became linked neighbours.
  std::set<instance_name> compared_neighbours_;
  bool announced_ = false;
  bool announcing_ = false;
  bool listing_ = false;
  bool withdrawn_ = false;
  time_point next_announcement_{};
  time_point next_search_{};
  time_point next_comparison_{};
  std::map<instance_name, time_point> unlinked_since_;
  timer_handle timer_;
};

}  // namespace crocusdoor

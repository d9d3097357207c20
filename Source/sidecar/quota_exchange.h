#pragma once

#include <functional>
#include <list>
#include <map>
#include <vector>

#include "daemon/message_dispatcher.h"
#include "mesh/route_table.h"
#include "quota/quota_account.h"
#include "quota/quota_pool.h"
#include "sidecar/sidecar_context.h"

namespace crocusdoor {

/// Applies the quotas of workspaces to the requests of callers. Reports to the coordinators and
/// serves as one, while the configuration has a workspace with a rate.
class quota_exchange {
 public:
  struct handlers {
    std::function<std::vector<instance_name>()> linked_peers;
    /// Sends a message to a peer; false if there is no link.
    std::function<bool(const instance_name&, const wire::message&)> send;
    /// Daemons known from the store, including this one.
    std::function<std::size_t()> daemon_count;
    /// Whether the daemons have been listed since the start.
    std::function<bool()> listed;
  };
  /// Called once with whether the request may run, and otherwise the delay before a repeat.
  using decision_handler = std::function<void(bool admitted, duration retry_after)>;

  quota_exchange(const sidecar_context& shared, handlers callbacks);

  void connect(message_dispatcher& dispatcher);
  void configure(const mesh_configuration& configuration);
  /// Version of the configuration of a peer; called before its messages are dispatched.
  void version_reported(const instance_name& peer, std::uint64_t version) {
    if (used_) {
      versions_[peer] = version;
    }
  }
  /// Sets whether a linked peer is stopping and thus must not be a coordinator.
  void set_peer(const instance_name& peer, bool stopping);
  void peer_lost(const instance_name& peer);

  /// Decides on a request, at once or after waiting for a grant.
  void decide(const workspace_name& workspace, decision_handler done);
  /// Counts a further run of a request that has been admitted.
  void count_repeat(const workspace_name& workspace);
  /// Gives back the token of a request that has not run and will not run.
  void give_back(const workspace_name& workspace);

 private:
  struct waiting_request {
    workspace_name workspace;
    decision_handler done;
    time_point until;
  };

  [[nodiscard]] bool joined();
  void update();
  void schedule();
  void choose_coordinators();
  void send_reports();
  void report_received(const instance_name& from, const wire::quota_report& report);
  void grant_received(const instance_name& from, const wire::quota_grant& grant,
                      std::uint64_t version);
  void serve_waiting();

  const sidecar_context& shared_;
  handlers callbacks_;
  quota_account account_;
  quota_pool pool_;
  bool used_ = false;  ///< Whether the configuration has a workspace with a rate.
  bool joined_ = false;
  time_point started_at_;
  std::uint64_t version_ = 0;
  std::map<instance_name, std::uint64_t> versions_;
  std::map<instance_name, bool> stopping_;   ///< Linked peers; the value is whether they stop.
  std::vector<instance_name> coordinators_;  ///< Of each part; empty if they are to be chosen.
  std::list<waiting_request> waiting_;
  time_point scheduled_for_ = time_point::max();
  timer_handle timer_;
};

}  // namespace crocusdoor

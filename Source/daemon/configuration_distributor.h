#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "configuration/configuration_holder.h"
#include "configuration/head_document.h"
#include "configuration/version_floor.h"
#include "daemon/daemon_context.h"
#include "daemon/peer_mesh.h"
#include "platform/platform_client.h"

namespace crocusdoor {

/// Keeps the configuration of this daemon up to date and sends newer versions to its peers. Every
/// daemon fetches from linked peers; the watchers of a failure domain also watch the platform.
class configuration_distributor {
 public:
  struct handlers {
    std::function<bool()> is_watcher;
    /// A version was adopted, or the current version may be served for the first time.
    std::function<void()> adopted;
    /// Names and failure domain of the known instances other than this one.
    std::function<std::map<instance_name, failure_domain>()> known_peers;
  };

  configuration_distributor(const daemon_context& shared, peer_mesh& mesh,
                            platform_client& platform, handlers callbacks);

  [[nodiscard]] const configuration_holder& holder() const noexcept { return holder_; }
  [[nodiscard]] snapshot_pointer current() const { return holder_.current(); }
  /// Whether the version floor is known and the current version is at or above it.
  [[nodiscard]] bool ready() const noexcept { return floor_known_; }
  /// Latest head object that this daemon has read or written, if any.
  [[nodiscard]] const std::optional<head_document>& head() const noexcept { return head_; }

  void peer_established(const instance_name& peer, const failure_domain& domain,
                        const wire::hello& greeting);
  void version_reported(const instance_name& peer, version_number version);
  [[nodiscard]] version_number reported_version_of(const instance_name& peer) const;

  /// Calls `done(true)` once the current version is at least `version`, or `done(false)` after
  /// `limit`.
  void when_caught_up(version_number version, duration limit, std::function<void(bool)> done);

  /// Processes a head that this daemon has read or written.
  void offer_head(const head_document& head, object_version object);

  /// Reads the head object; `done` gets the head, or nothing if it does not exist yet, with the
  /// object's version.
  using head_callback = std::function<void(platform_outcome, std::optional<head_document>,
                                           object_version, const std::string& problem)>;
  void read_head(head_callback done);

 private:
  struct waiter {
    version_number version = 0;
    std::function<void(bool)> done;
    timer_handle timeout;
  };

  void request_from(const instance_name& peer);
  void accept_delta(const instance_name& from, const configuration_delta& delta);
  void accept_snapshot(const instance_name& from, const wire::configuration_snapshot& offered);
  void respond_to_request(const instance_name& from, const wire::configuration_request& request);
  void record_adoption_result(const adoption_result& result, const std::string& source);
  void version_adopted();
  void stage_candidate(const head_document& head);
  void review_candidate();
  void adopt_candidate();
  void update_floor();
  void review_sources();
  void start_watch();
  void watch_ended(const platform_result& result);
  /// Returns what is wrong with the head object; empty if it was processed.
  std::string accept_head_object(const platform_result& result);

  const daemon_context& shared_;
  peer_mesh& mesh_;
  platform_client& platform_;
  handlers callbacks_;
  configuration_holder holder_;
  version_floor_estimator floor_estimator_;
  bool floor_known_ = false;
  std::optional<head_document> head_;
  object_version head_object_version_ = 0;
  /// A version from the platform that waits until enough peers have reported it or the
  /// acknowledgement timeout has passed.
  std::optional<head_document> candidate_;
  timer_handle candidate_timer_;
  /// Highest version that each instance has reported, also before its latest restart.
  std::map<instance_name, version_number> reported_versions_;
  std::optional<time_point> request_sent_at_;
  bool watching_ = false;
  bool reading_head_ = false;
  time_point next_head_read_{};
  time_point next_watch_{};
  time_point last_peer_message_at_{};
  std::vector<std::shared_ptr<waiter>> waiters_;
  timer_handle review_timer_;
};

}  // namespace crocusdoor

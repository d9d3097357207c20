#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "model_process.h"
#include "model_store.h"

namespace crocusdoor {

/// A version that a connected instance did not adopt in time.
struct late_version {
  instance_name instance;
  std::uint64_t current = 0;
  std::uint64_t expected = 0;
  duration seen_at{0};  ///< Since the start of the run.
};

/// Size and configuration of a fleet.
struct fleet_options {
  std::size_t per_domain = 0;  ///< Instances in each failure domain; 0 for a random number.
  bool workspaces = false;
};

/// A fleet in three failure domains with a store and links, on a virtual clock. The decisions are
/// made by the production code that follows and distributes configurations; store, links and
/// processes fail as the test specifies.
///
/// An instance is connected if its process and its connections have had no fault for three seconds,
/// the store is not slow, and new versions can reach the instance from the store or over links from
/// other instances. A connected instance must adopt each version within two seconds after the store
/// has acknowledged it, or within seven seconds while the store loses its history. A version that
/// the store has lost because it went back must stay in force where it is, and reach connected
/// instances from their peers within four seconds.
///
/// With workspaces each version has other keys. No instance may admit the keys of a version later
/// than five seconds after the store has acknowledged the next one, whatever fails.
class configuration_model {
 public:
  /// Starts the fleet with a first version and runs until all instances are connected.
  explicit configuration_model(std::uint64_t seed, fleet_options options = {});
  ~configuration_model();
  configuration_model(const configuration_model&) = delete;
  configuration_model& operator=(const configuration_model&) = delete;

  void run_for(duration span) { timers_.run_for(span); }
  /// Runs a sequence of versions and faults, some of them overlapping, determined by the seed.
  void run_random_scenario();

  void write_version();
  void write_series(duration span, duration gap);
  /// Changes how the store responds to these instances for a time.
  void restrict_access(std::vector<std::size_t> instances, store_access access, duration span);
  /// No messages pass between an instance and the others for a time.
  void isolate(std::size_t instance, duration span);
  /// The process ends and starts again after `down`. Without power its links stay open, but no
  /// message passes.
  void kill(std::size_t instance, duration down, bool without_power);
  /// The process announces that it stops, ends some seconds later and starts again.
  void restart(std::size_t instance);
  void freeze(std::size_t instance, duration span);
  void slow_down(std::size_t instance, duration span);
  /// On a share of the open connections nothing arrives any more.
  void silence_connections(double share);
  /// The store reports no changes for `silent_time` and then discards its history.
  void forget_history(duration silent_time);
  void slow_store(duration span);
  /// The store returns to a copy that lacks up to `lost` versions. Other objects are written again
  /// at once, and the versions after `repeat_after`.
  void go_back(std::size_t lost, bool interrupts_watches, duration repeat_after);
  [[nodiscard]] model_store& store() { return store_; }
  /// The store loses its newest version. Its operator writes it again after `span`.
  void restore_older_copy(duration span);

  /// The first instance that admitted a removed key too late, if any.
  [[nodiscard]] const std::optional<late_version>& revoked() const { return revoked_; }
  /// Number of instances that admit the keys of their version.
  [[nodiscard]] std::size_t admitting() const;
  [[nodiscard]] int store_calls() const { return store_.calls(); }
  [[nodiscard]] std::size_t size() const { return processes_.size(); }
  [[nodiscard]] model_process& at(std::size_t instance) { return *processes_.at(instance); }
  /// Positions of the instances in the failure domain with this index.
  [[nodiscard]] std::vector<std::size_t> domain(std::size_t index) const;
  /// Positions of the instances in this failure domain that wait at the store.
  [[nodiscard]] std::vector<std::size_t> watchers_of(std::size_t index) const;
  [[nodiscard]] int overlapping_watches() const { return store_.overlapping_watches(); }
  /// The first version that was adopted too late, if any.
  [[nodiscard]] const std::optional<late_version>& late() const { return late_; }
  [[nodiscard]] const std::vector<std::string>& faults() const { return faults_; }

 private:
  struct link {
    bool open = false;
    bool silent = false;
    /// Last message received by the first and the second end.
    std::array<time_point, 2> last_received_at{};
    std::array<int, 2> starts{};  ///< Number of the starts of the processes that it connects.
    time_point opens_at{};
    time_point opened_at{};
  };
  using ends = std::pair<std::size_t, std::size_t>;

  void add_instance(std::size_t domain, std::size_t number);
  [[nodiscard]] static ends ends_of(std::size_t first, std::size_t second);
  void deliver(std::size_t from, const instance_name& to, const wire::message* content);
  void send_heartbeats();
  void update_links();
  void update_link(const ends& link_ends, link& connection);
  void open(const ends& link_ends, link& connection);
  void close(const ends& link_ends, link& connection);
  void introduce(std::size_t peer, std::size_t to);
  [[nodiscard]] bool reachable(std::size_t instance) const;
  [[nodiscard]] bool can_receive_versions(std::size_t instance) const;
  void disturb(std::size_t instance, duration span);
  void disturb_all(duration span);
  void inject_fault();
  [[nodiscard]] std::size_t any_instance();
  [[nodiscard]] std::vector<std::size_t> some_instances(std::size_t count);
  [[nodiscard]] duration random_duration(duration minimum, duration maximum);
  void check();
  /// Records which version each instance has.
  void record_versions();
  /// Newest version that a connected instance has had for a while over whose link it could have
  /// come.
  [[nodiscard]] std::uint64_t version_of_peers(std::size_t instance) const;
  void check_keys();

  random_source random_;
  virtual_timers timers_;
  model_store store_{timers_};
  std::vector<std::unique_ptr<model_process>> processes_;
  std::map<instance_name, std::size_t> positions_;
  std::map<ends, link> links_;
  std::vector<time_point> isolated_until_;
  std::vector<time_point> disturbed_until_;
  /// When each instance adopted its versions since its start.
  std::vector<std::vector<std::pair<time_point, std::uint64_t>>> adoptions_;
  time_point store_disturbed_until_{};  ///< The store is slow, or was a short time ago.
  time_point history_lost_until_{};
  std::uint64_t version_ = 0;
  std::vector<timer_handle> periodic_;
  std::optional<late_version> late_;
  std::optional<late_version> revoked_;
  std::vector<std::string> faults_;
};

}  // namespace crocusdoor

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

/// A version that an instance in touch did not act on in time.
struct late_version {
  instance_name instance;
  std::uint64_t held = 0;
  std::uint64_t expected = 0;
  duration seen_at{0};  ///< Since the start of the run.
};

/// A fleet in three failure domains with a store and links, on a virtual clock. The real code that
/// follows and spreads configurations decides; store, links and processes fail as the test says.
///
/// An instance is in touch if its process and its connections have not been faulty for three
/// seconds, the store is not slow, and a way to new versions is left: the store or links to other
/// instances. It must have each version in force two seconds after the store has acknowledged it,
/// or seven while the store loses its history.
class configuration_model {
 public:
  /// Starts the fleet with a first version, and waits until all instances are in touch.
  explicit configuration_model(std::uint64_t seed);
  ~configuration_model();
  configuration_model(const configuration_model&) = delete;
  configuration_model& operator=(const configuration_model&) = delete;

  void run_for(duration span) { timers_.run_for(span); }
  /// Versions and faults as the seed says, one after the other and overlapping.
  void run_random_day();

  void write_version();
  void write_series(duration span, duration gap);
  /// The store treats instances differently from others for a while.
  void turn_away(std::vector<std::size_t> instances, store_access access, duration span);
  /// No message passes between an instance and others.
  void cut_off(std::size_t instance, duration span);
  /// The process ends; without power, its links stay open and silent.
  void kill(std::size_t instance, duration down, bool without_power);
  /// The process says that it ends, does so after seconds, and starts again.
  void restart(std::size_t instance);
  void freeze(std::size_t instance, duration span);
  void slow_down(std::size_t instance, duration span);
  /// A share of the open connections brings nothing any more.
  void silence_connections(double share);
  void forget_history(duration mute);
  void slow_store(duration span);

  [[nodiscard]] std::size_t size() const { return processes_.size(); }
  [[nodiscard]] model_process& at(std::size_t instance) { return *processes_.at(instance); }
  /// Positions of the instances of the failure domain of this index.
  [[nodiscard]] std::vector<std::size_t> domain(std::size_t index) const;
  /// Those of them that wait at the store.
  [[nodiscard]] std::vector<std::size_t> watchers_of(std::size_t index) const;
  [[nodiscard]] int overlapping_watches() const { return store_.overlapping_watches(); }
  /// The first instance that was late, if any was.
  [[nodiscard]] const std::optional<late_version>& late() const { return late_; }
  [[nodiscard]] const std::vector<std::string>& faults() const { return faults_; }

 private:
  struct link {
    bool open = false;
    bool silent = false;
    std::array<time_point, 2> heard_at{};  ///< By the first and by the second end.
    std::array<int, 2> starts{};           ///< Of the processes that it connects.
    time_point opens_at{};
  };
  using ends = std::pair<std::size_t, std::size_t>;

  void add_instance(std::size_t domain, std::size_t number);
  [[nodiscard]] static ends ends_of(std::size_t one, std::size_t other);
  void deliver(std::size_t from, const instance_name& to, const wire::message* content);
  void send_heartbeats();
  void keep_links();
  void keep_link(const ends& between, link& one);
  void open(const ends& between, link& one);
  void close(const ends& between, link& one);
  void introduce(std::size_t peer, std::size_t to);
  [[nodiscard]] bool reachable(std::size_t instance) const;
  [[nodiscard]] bool has_way(std::size_t instance) const;
  void disturb(std::size_t instance, duration span);
  void disturb_all(duration span);
  void inject_fault();
  [[nodiscard]] std::size_t any_instance();
  [[nodiscard]] std::vector<std::size_t> some_instances(std::size_t count);
  [[nodiscard]] duration between(duration least, duration most);
  void check();

  random_source random_;
  virtual_timers timers_;
  model_store store_{timers_};
  std::vector<std::unique_ptr<model_process>> processes_;
  std::map<instance_name, std::size_t> positions_;
  std::map<ends, link> links_;
  std::vector<time_point> cut_until_;
  std::vector<time_point> disturbed_until_;
  time_point store_disturbed_until_{};  ///< Slow.
  time_point history_lost_until_{};
  std::uint64_t version_ = 0;
  std::vector<timer_handle> periodic_;
  std::optional<late_version> late_;
  std::vector<std::string> faults_;
};

}  // namespace crocusdoor

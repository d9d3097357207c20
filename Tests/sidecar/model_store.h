#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "process_timers.h"
#include "sidecar/platform_contract.h"

namespace crocusdoor {

/// How the store responds to one instance.
enum class store_access {
  open,
  refused,  ///< Calls get a refusal as the response.
  silent,   ///< Calls get no response.
};

/// The platform's store on a virtual clock, with one configuration and its history.
class model_store {
 public:
  explicit model_store(virtual_timers& clock) : clock_(clock) {}

  void write(std::uint64_t version);
  /// The store has lost its newest version, which it had acknowledged, until the next write.
  void restore_older_copy();
  /// Configurations have workspaces from now on.
  void use_workspaces() { workspaces_ = true; }
  /// Newest version acknowledged until `when`; 0 if there is none.
  [[nodiscard]] std::uint64_t version_acknowledged_by(time_point when) const;
  [[nodiscard]] store_access access(const instance_name& instance) const;
  void set_access(const instance_name& instance, store_access access);
  /// Returns to a copy that lacks the newest versions, up to `lost` of them, with a new era.
  /// Watches either are interrupted or get answers as before. Returns the lost versions.
  std::vector<std::uint64_t> go_back(std::size_t lost, bool interrupts_watches);
  /// Writes of other objects, which raise the revision.
  void write_others(std::uint64_t writes) { revision_ += writes; }
  /// Whether responses state the era, as older stores do not.
  void state_era(bool stated) { era_stated_ = stated; }
  /// Watches get no changes for this time; then they are interrupted and the history is discarded.
  void compact_after(duration span);
  void set_latency(duration latency) { latency_ = latency; }
  /// Number of watches that a process began while it had another watch.
  [[nodiscard]] int overlapping_watches() const { return overlapping_watches_; }
  /// Number of reads and watches that processes have begun.
  [[nodiscard]] int calls() const { return calls_; }

 private:
  friend class model_store_client;

  struct written_version {
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    time_point acknowledged_at{};
  };

  [[nodiscard]] configuration_read_result newest() const;
  [[nodiscard]] std::optional<std::uint64_t> stated_era() const {
    return era_stated_ ? std::optional(era_) : std::nullopt;
  }

  virtual_timers& clock_;
  std::vector<written_version> versions_;
  std::map<instance_name, store_access> access_;
  std::uint64_t revision_ = 100;
  std::uint64_t oldest_known_revision_ = 0;
  std::uint64_t era_ = 1;
  bool era_stated_ = true;
  time_point silent_until_{};
  int compactions_ = 0;
  int overlapping_watches_ = 0;
  int calls_ = 0;
  bool workspaces_ = false;
  bool newest_lost_ = false;
  duration latency_ = std::chrono::milliseconds(4);
};

/// The store client of one process, with the timeouts and the connections of the production client.
class model_store_client : public mesh_store {
 public:
  model_store_client(model_store& store, process_timers& timers, instance_name self)
      : store_(store), timers_(timers), self_(std::move(self)) {}

  void read_configuration(configuration_callback done) override;
  void close_idle_connections() override { call_connection_silent_ = false; }
  void watch_configuration(std::uint64_t revision, duration wait,
                           configuration_callback done) override;
  void cancel_watch() override;
  void list_daemons(listing_callback) override {}
  void read_daemon(const instance_name&, write_callback) override {}
  void announce_daemon(const daemon_entry&, outcome_callback) override {}
  void replace_daemon(const daemon_entry&, std::uint64_t, write_callback) override {}
  void withdraw_daemon(const instance_name&, outcome_callback) override {}

  /// Nothing arrives any more on the open connections; new connections work.
  void silence_connections();

 private:
  struct watch;
  using watch_pointer = std::shared_ptr<watch>;

  void respond(const configuration_callback& done, const configuration_read_result& result,
               duration delay);
  /// Calls back with a response of this era.
  void deliver(const configuration_callback& done, configuration_read_result result,
               std::optional<std::uint64_t> era);
  void start(const watch_pointer& pending);
  void poll(const watch_pointer& pending);
  void finish(const watch_pointer& pending, const configuration_read_result& result);

  model_store& store_;
  process_timers& timers_;
  instance_name self_;
  std::vector<watch_pointer> watches_;  ///< The first watch uses the connection.
  bool call_connection_silent_ = false;
  time_point last_call_at_{};
};

}  // namespace crocusdoor

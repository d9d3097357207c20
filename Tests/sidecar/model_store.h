#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "process_timers.h"
#include "sidecar/platform_contract.h"

namespace crocusdoor {

/// How the store treats one instance.
enum class store_access {
  open,
  refused,  ///< Calls are answered with a refusal.
  silent,   ///< Calls are not answered.
};

/// The platform's store on a virtual clock, with one configuration and its history.
class model_store {
 public:
  explicit model_store(virtual_timers& clock) : clock_(clock) {}

  void write(std::uint64_t version);
  /// Newest version acknowledged by then; 0 if there is none.
  [[nodiscard]] std::uint64_t version_acknowledged_by(time_point when) const;
  [[nodiscard]] store_access access(const instance_name& instance) const;
  void set_access(const instance_name& instance, store_access access);
  /// Watches hear nothing for this time; then they are cut and the history is gone.
  void compact_after(duration span);
  void set_latency(duration latency) { latency_ = latency; }
  /// Watches that a process began while it had another one.
  [[nodiscard]] int overlapping_watches() const { return overlapping_watches_; }

 private:
  friend class model_store_client;

  struct written_version {
    std::uint64_t version = 0;
    time_point acknowledged_at{};
  };

  [[nodiscard]] configuration_reading newest() const;

  virtual_timers& clock_;
  std::vector<written_version> versions_;
  std::map<instance_name, store_access> access_;
  std::uint64_t revision_ = 100;
  std::uint64_t oldest_known_revision_ = 0;
  time_point mute_until_{};
  int compactions_ = 0;
  int overlapping_watches_ = 0;
  duration latency_ = std::chrono::milliseconds(4);
};

/// The client of one process, with the time-outs and the connections of the real one.
class model_store_client : public mesh_store {
 public:
  model_store_client(model_store& store, process_timers& timers, instance_name self)
      : store_(store), timers_(timers), self_(std::move(self)) {}

  void read_configuration(configuration_callback done) override;
  void distrust_connections() override { call_connection_silent_ = false; }
  void watch_configuration(std::uint64_t revision, duration wait,
                           configuration_callback done) override;
  void list_daemons(listing_callback) override {}
  void announce_daemon(const daemon_entry&, outcome_callback) override {}
  void withdraw_daemon(const instance_name&, outcome_callback) override {}

  /// The open connections bring nothing any more; new ones do.
  void silence_connections();

 private:
  struct watch;
  using watch_pointer = std::shared_ptr<watch>;

  void answer(const configuration_callback& done, const configuration_reading& reading,
              duration delay);
  void begin(const watch_pointer& one);
  void poll(const watch_pointer& one);
  void finish(const watch_pointer& one, const configuration_reading& reading);

  model_store& store_;
  process_timers& timers_;
  instance_name self_;
  std::vector<watch_pointer> watches_;  ///< The first one has the connection.
  bool call_connection_silent_ = false;
  time_point last_call_at_{};
};

}  // namespace crocusdoor

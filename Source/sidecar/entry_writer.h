#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "mesh/target_departures.h"
#include "sidecar/sidecar_context.h"

namespace crocusdoor {

/// Keeps in this daemon's entry in the platform's store what must outlive all daemons: the
/// departures of its target and the requests that it refuses because they crash targets.
///
/// Each write states the revision that it replaces, so a write that the store executes late, after
/// its response was given up, does not undo a later one.
class entry_writer {
 public:
  using stored_handler = std::function<void(bool stored)>;

  entry_writer(const sidecar_context& shared, mesh_store& store);

  /// Takes over what the entry holds. Call when the entries have been listed for the first time
  /// since the start of the process; nothing is stored before.
  void restore(const daemon_listing& listing);
  [[nodiscard]] bool restored() const noexcept { return stored_.has_value(); }
  /// Departures at this daemon's address.
  [[nodiscard]] const std::vector<target_departure>& departures() const noexcept {
    return departures_.all();
  }

  void set_crashing_requests(const std::vector<crash_count>& counts);
  /// Adds a departure and stores it at once.
  void add_departure(const target_departure& departure);
  /// Reports whether all departures are stored: as soon as they are, or when the caller cannot wait
  /// any longer.
  void await_departures(stored_handler done);

  /// Stores what has changed, unless it has to wait. Call about once a second.
  void update();
  /// The store has gone back to an older copy: nothing counts as stored any more, and the entry is
  /// written again as a whole.
  void store_era_changed();
  /// Ends all writes, because the entry is about to be removed.
  void close();

 private:
  struct waiting_handler {
    stored_handler done;
    timer_handle limit;
  };
  using waiting_pointer = std::shared_ptr<waiting_handler>;

  [[nodiscard]] bool departures_stored() const;
  [[nodiscard]] bool may_store() const;
  void store_at_once();
  void write();
  void read_revision();
  void revision_read(const daemon_write& result);
  void retry_after(duration delay);
  /// The callback of a call, which has no effect if the era has changed meanwhile.
  template <typename Callback>
  auto in_this_era(Callback done);
  void write_ended(const daemon_entry& written, const daemon_write& result);
  void report_stored();
  void give_up(const waiting_pointer& waiting);

  const sidecar_context& shared_;
  mesh_store& store_;
  daemon_entry wanted_;
  target_departures departures_;
  std::optional<daemon_entry> stored_;  ///< Empty until the entries have been listed.
  std::uint64_t revision_ = 0;          ///< Of the entry in the store; 0 if it is not known.
  /// The entry in the store may be older than `stored_`, and its revision is not known.
  bool rewrite_ = false;
  std::uint64_t era_changes_ = 0;
  bool storing_ = false;
  bool closed_ = false;
  time_point next_store_at_{};
  std::vector<waiting_pointer> waiting_;
  timer_handle retry_timer_;
};

}  // namespace crocusdoor

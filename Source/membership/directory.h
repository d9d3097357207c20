#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/random_source.h"
#include "core/time.h"
#include "membership/instance_record.h"
#include "membership/member_index.h"

namespace crocusdoor {

/// Timeouts and size limits of a directory.
struct directory_limits {
  /// A suspect instance that has not refuted the suspicion after this time is declared dead.
  duration suspicion = std::chrono::seconds(3);
  /// A daemon that has received no message from any neighbour for this long considers itself
  /// isolated. It is shorter than the heartbeat timeout because the first neighbour is reported
  /// lost when that timeout expires; isolation must be detected before then.
  duration isolation = std::chrono::milliseconds(2'500);
  /// Records of dead and left instances are kept this long. It is longer than the partitions of
  /// about an hour that occur between regions, so that old records on the other side of a partition
  /// cannot make these instances appear live again.
  duration retention = std::chrono::hours(2);
  std::size_t records = 20'000;  ///< Maximum; records of further instances are refused.
  std::size_t hints = 1'000;  ///< Maximum; further hints are dropped and replace no existing one.
};

/// The records of all instances that one daemon knows, merged from the records of its peers.
///
/// Typical use: pass each received record to `merge` and, where that returns true, the result of
/// `find(record.name)` to the gossip queue; pass heartbeat timeouts to `neighbour_lost`; call
/// `tick` several times a second and gossip the records it returns; recompute neighbours and
/// upstreams when `revision` has changed.
class directory {
 public:
  static constexpr std::size_t bucket_count = 64;
  /// One order-independent checksum of the live records per bucket of names.
  using fingerprints = std::vector<std::uint64_t>;

  explicit directory(const instance_record& self, directory_limits limits = {});
  ~directory() = default;

  directory(const directory&) = delete;  // The index points into the records.
  directory& operator=(const directory&) = delete;

  /// Stores a received record if it replaces the current one. Returns whether the current record of
  /// this name changed; it must then be gossiped on. A `dead` record of an instance that was not
  /// suspect here is stored as `suspect`, so that the instance has time to refute it. A false
  /// record about this instance itself is refuted: the own record gets a higher sequence (or, if a
  /// later process of the same name was declared dead, a higher incarnation) and is the changed
  /// record.
  bool merge(const instance_record& record, time_point now);

  [[nodiscard]] const instance_record& self() const { return *self_; }

  /// Announces another state of this instance. Returns the record to gossip, or nothing if the
  /// state is the same already or the instance has left.
  std::optional<instance_record> set_self_state(instance_state state, time_point now);

  /// Whether a process of the same name that started later is live. This process is then the
  /// predecessor that was not stopped, and should stop.
  [[nodiscard]] bool superseded() const noexcept { return superseded_; }

  /// Marks a neighbour as suspect whose heartbeat timeout has expired or to which no connection can
  /// be opened. Returns the `suspect` record to gossip. Returns nothing if the neighbour has
  /// restarted since or is suspect already, or if this daemon is isolated
  /// (`directory_limits::isolation`): the fault is then probably its own, and the suspicion must
  /// not reach other daemons.
  std::optional<instance_record> neighbour_lost(const instance_name& name,
                                                std::uint64_t incarnation, time_point now);

  /// Notes that a message of a neighbour arrived (a `hello` or a response to a heartbeat). If the
  /// neighbour is suspect or dead here in this incarnation, returns that record: send it to the
  /// neighbour, which refutes it.
  std::optional<instance_record> neighbour_seen(const instance_name& name,
                                                std::uint64_t incarnation, time_point now);

  /// Declares instances dead whose suspicion timeout has expired and removes records past their
  /// retention. Returns the changed records, which must be gossiped.
  std::vector<instance_record> tick(time_point now);

  /// All records, also of dead and left instances.
  [[nodiscard]] std::vector<instance_record> all() const;
  /// Records of the instances that are neither dead nor left, this one included.
  [[nodiscard]] std::vector<instance_record> live() const;
  /// Records of the instances of a service that accept requests. Suspect instances that were ready
  /// are left out, unless there are more of them than ready ones: the network is then the more
  /// likely cause, and the remaining instances could not carry the load.
  [[nodiscard]] std::vector<instance_record> ready_upstreams(const service_name& service) const;
  /// The record of an instance, or nullptr; valid until the next change.
  [[nodiscard]] const instance_record* find(const instance_name& name) const;
  /// Services with at least one live instance, in order of name.
  [[nodiscard]] std::vector<service_name> services() const;

  /// Live instances by failure domain, for the functions of topology.h.
  [[nodiscard]] const member_index& members() const noexcept { return members_; }
  [[nodiscard]] std::size_t live_count() const noexcept { return members_.size(); }
  /// Incremented with every change.
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
  /// Records refused because they were out of range or above the size limit.
  [[nodiscard]] std::uint64_t refused_records() const noexcept { return refused_records_; }

  /// Keeps an announcement read from the platform as an address to connect to. It may be stale, so
  /// the instance does not count as live until its own record arrives.
  void add_hint(const instance_record& announcement);
  /// Drops the hint of an instance that could not be connected to.
  void contact_failed(const instance_name& name);
  /// Up to `count` instances to connect to in order to join the mesh or to detect that a partition
  /// has healed: hints and dead instances, in random order. Connect to about three at once, since
  /// any of them may be stale, and wait for a `reconnect_backoff` between the attempts.
  [[nodiscard]] std::vector<instance_record> contacts(std::size_t count,
                                                      random_source& random) const;

  /// Whether more instances are dead than live here: this daemon is probably on the smaller side of
  /// a partition. Suspect and dead marks set meanwhile are provisional: when the partition heals,
  /// the records of the other side replace them even at an equal sequence, so that only the
  /// instances of the smaller side have to refute their marks.
  [[nodiscard]] bool in_minority() const noexcept { return in_minority_; }

  /// Checksums to send to a peer (`records_request`), which responds with its `differing` records.
  /// Send them to a random neighbour about twice a minute, and to a peer when its link opens.
  [[nodiscard]] const fingerprints& bucket_fingerprints() const noexcept { return buckets_; }
  /// Records of the buckets whose checksums differ from those of a peer; all buckets if the peer
  /// sent none.
  [[nodiscard]] std::vector<instance_record> differing(const fingerprints& of_peer) const;

 private:
  struct entry {
    instance_record record;
    instance_state announced = instance_state::starting;
    time_point expires_at;  ///< When a suspicion becomes a death or a gone record is removed.
    /// The first record received of the instance was `dead` or `left`. `differing` leaves such an
    /// entry out; otherwise two daemons could restore each other's expired records for ever.
    bool first_seen_gone = false;
    bool provisional = false;  ///< Marked suspect or dead while `in_minority` or isolated.
  };

  [[nodiscard]] bool is_acceptable(const instance_record& record) const;
  bool merge_about_self(const instance_record& record);
  [[nodiscard]] bool is_taken_over(const instance_record& record, const entry& current) const;
  [[nodiscard]] bool is_isolated(time_point now) const;
  void update_in_minority();
  void set_self_version(std::uint64_t incarnation, std::uint64_t sequence);
  void store(const instance_record& record, time_point now);
  void remove_from_indexes(const entry& current);
  void add_to_indexes(entry& current, time_point now);
  [[nodiscard]] static std::size_t bucket_of(const instance_name& name);
  void toggle_fingerprint(const instance_record& record);

  directory_limits limits_;
  std::map<instance_name, entry> entries_;
  const instance_record* self_ = nullptr;
  bool superseded_ = false;
  bool in_minority_ = false;
  time_point last_seen_at_;  ///< When a message of any neighbour last arrived.
  member_index members_;
  std::map<service_name, std::set<instance_name>> services_;
  std::set<std::pair<time_point, instance_name>> expirations_;
  std::map<instance_name, instance_record> hints_;
  fingerprints buckets_ = fingerprints(bucket_count);
  std::size_t dead_count_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t refused_records_ = 0;
};

}  // namespace crocusdoor

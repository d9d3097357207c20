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

/// Times and sizes of a directory.
struct directory_limits {
  /// A suspicion that is not refuted for this long becomes a death.
  duration suspicion = std::chrono::seconds(3);
  /// A daemon that heard no neighbour for this long takes itself for isolated. Below the heartbeat
  /// time-out, because the first neighbour is reported lost at that time.
  duration isolation = std::chrono::milliseconds(2'500);
  /// Records of dead and left instances stay this long. Longer than the partitions of about an hour
  /// that regions see, so that what the other side still holds cannot revive them.
  duration retention = std::chrono::hours(2);
  std::size_t records = 20'000;  ///< Records of further instances are refused.
  std::size_t hints = 1'000;     ///< Further hints replace nothing and are dropped.
};

/// What one daemon knows about all instances, merged from peers.
///
/// Typical use: pass each received record to `merge` and, where that returns true, the result of
/// `find(record.name)` to the gossip queue; pass heartbeat time-outs to `neighbour_lost`; call
/// `tick` several times a second and gossip what it returns; recompute neighbours and upstreams
/// when `revision` has changed.
class directory {
 public:
  static constexpr std::size_t bucket_count = 64;
  /// One order-independent checksum of the live records per bucket of names.
  using fingerprints = std::vector<std::uint64_t>;

  explicit directory(const instance_record& self, directory_limits limits = {});
  ~directory() = default;

  directory(const directory&) = delete;  // The index points into the records.
  directory& operator=(const directory&) = delete;

  /// Takes over a received record if it replaces the one held. Returns whether the record held for
  /// this name changed; it must then be gossiped on. A death of an instance that was not suspect
  /// here is taken over as a suspicion, so that the instance has time to refute it. A false record
  /// about this instance itself is answered by a raised sequence (or, after a dead namesake with a
  /// later start, a raised incarnation), which is then the changed record.
  bool merge(const instance_record& record, time_point now);

  [[nodiscard]] const instance_record& self() const { return *self_; }

  /// Announces another state of this instance. Returns the record to gossip, or nothing if the
  /// state is the same already or the instance has left.
  std::optional<instance_record> set_self_state(instance_state state, time_point now);

  /// Whether another process of this name with a later start is live: this process is a leftover
  /// and should stop.
  [[nodiscard]] bool superseded() const noexcept { return superseded_; }

  /// A neighbour missed its heartbeats or cannot be connected to. Returns the suspicion to gossip,
  /// or nothing if the neighbour has started anew since or is under suspicion already, or if no
  /// neighbour was heard lately: the fault is then on this side and nobody else should hear of it.
  std::optional<instance_record> neighbour_lost(const instance_name& name,
                                                std::uint64_t incarnation, time_point now);

  /// A neighbour answered a heartbeat. If it is held as suspect or dead in this incarnation,
  /// returns that record: send it to the neighbour, which refutes it.
  std::optional<instance_record> neighbour_seen(const instance_name& name,
                                                std::uint64_t incarnation, time_point now);

  /// Declares dead what was suspect for too long and removes records past their retention. Returns
  /// the changed records, which must be gossiped.
  std::vector<instance_record> tick(time_point now);

  /// All records, also of dead and left instances.
  [[nodiscard]] std::vector<instance_record> all() const;
  /// Records of the instances that are neither dead nor left, this one included.
  [[nodiscard]] std::vector<instance_record> live() const;
  /// Records of the instances of a service that take work. Suspect instances that were ready are
  /// left out, unless they are more than half of the service: that is more likely a fault of the
  /// network than of the instances, and the rest could not take the load.
  [[nodiscard]] std::vector<instance_record> ready_upstreams(const service_name& service) const;
  /// The record of an instance, or nullptr; valid until the next change.
  [[nodiscard]] const instance_record* find(const instance_name& name) const;
  /// Services with at least one live instance, in order of name.
  [[nodiscard]] std::vector<service_name> services() const;

  /// Live instances by failure domain, for the functions of topology.h.
  [[nodiscard]] const member_index& members() const noexcept { return members_; }
  [[nodiscard]] std::size_t live_count() const noexcept { return members_.size(); }
  /// Rises with every change.
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
  /// Records refused because they were out of range or above the size limit.
  [[nodiscard]] std::uint64_t refused_records() const noexcept { return refused_records_; }

  /// Keeps an announcement read from the platform as a place to connect to. It may be stale, so it
  /// never counts as live; the record that the instance itself sends does.
  void add_hint(const instance_record& announcement);
  /// Drops the hint of an instance that could not be connected to.
  void contact_failed(const instance_name& name);
  /// Up to `count` instances to connect to in order to join the mesh or to find out whether a
  /// partition has healed: hints and dead instances, in random order. Try about three at
  /// once, since any of them may be stale, and wait a `reconnect_backoff` between the rounds.
  [[nodiscard]] std::vector<instance_record> contacts(std::size_t count,
                                                      random_source& random) const;

  /// Whether more instances are held as dead than as live: this daemon is probably on the smaller
  /// side of a partition. What is marked suspect or dead meanwhile is provisional: it yields to the
  /// other side's records when the partition heals, so that only the smaller side has to refute.
  [[nodiscard]] bool cut_off() const noexcept { return cut_off_; }

  /// Checksums to send to a peer (`records_request`), which answers with `differing`. Ask a random
  /// neighbour about twice a minute and each time a link opens.
  [[nodiscard]] const fingerprints& bucket_fingerprints() const noexcept { return buckets_; }
  /// Records of the buckets whose checksums differ from those of a peer; all buckets if the peer
  /// sent none.
  [[nodiscard]] std::vector<instance_record> differing(const fingerprints& of_peer) const;

 private:
  struct entry {
    instance_record record;
    instance_state announced = instance_state::starting;
    time_point due;  ///< When a suspicion becomes a death or a gone record is removed.
    /// Learned only after the instance was gone. Not passed on by `differing`, so that daemons
    /// cannot keep each other's expired records alive for ever.
    bool second_hand = false;
    bool provisional = false;  ///< Marked suspect or dead while this daemon was cut off.
  };

  [[nodiscard]] bool is_acceptable(const instance_record& record) const;
  bool merge_about_self(const instance_record& record);
  [[nodiscard]] bool is_taken_over(const instance_record& record, const entry& held) const;
  [[nodiscard]] bool is_isolated(time_point now) const;
  void update_cut_off();
  void raise_self(std::uint64_t incarnation, std::uint64_t sequence);
  void store(const instance_record& record, time_point now);
  void unlink(const entry& held);
  void link(entry& held, time_point now);
  [[nodiscard]] static std::size_t bucket_of(const instance_name& name);
  void toggle_fingerprint(const instance_record& record);

  directory_limits limits_;
  std::map<instance_name, entry> entries_;
  const instance_record* self_ = nullptr;
  bool superseded_ = false;
  bool cut_off_ = false;
  time_point heard_;  ///< When any neighbour was heard.
  member_index members_;
  std::map<service_name, std::set<instance_name>> services_;
  std::set<std::pair<time_point, instance_name>> due_;
  std::map<instance_name, instance_record> hints_;
  fingerprints buckets_ = fingerprints(bucket_count);
  std::size_t dead_count_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t refused_records_ = 0;
};

}  // namespace crocusdoor

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "membership/instance_record.h"

namespace crocusdoor {

/// Sizes of a gossip queue.
struct gossip_limits {
  std::size_t bytes_per_round = 32'000;  ///< Encoded records on one link in one round.
};

/// Changed records that still have to be sent, for each link. A change is sent at most once on each
/// link; links are reliable while they last, and what a broken link lost is found by comparing
/// fingerprints (`directory::bucket_fingerprints`).
///
/// The links are the neighbours that this daemon chose with `control_neighbours`, not those that
/// chose it: the chosen links alone reach every daemon, and the others would double the traffic.
class gossip_queue {
 public:
  explicit gossip_queue(gossip_limits limits = {}) : limits_(limits) {}

  /// Sets the links to send on. What waits for a removed link is dropped.
  void set_links(const std::vector<instance_name>& links);

  /// Queues a changed record for all links except the one it came from. It replaces an older record
  /// of the same instance that still waits.
  void push(const instance_record& changed, const instance_name& received_from = {});

  /// A peer sent this record, so it does not have to be sent there.
  void known_by(const instance_name& link, const instance_record& record);

  /// Records to send on a link in this round, at most `bytes_per_round` when encoded, but at least
  /// one if any waits.
  [[nodiscard]] std::vector<instance_record> next_batch(const instance_name& link);

  /// Records that wait, over all links.
  [[nodiscard]] std::size_t waiting() const noexcept;

 private:
  struct pending {
    instance_record record;
    std::size_t bytes = 0;
  };
  /// Waiting records by the order of their first change, so that no instance is passed over.
  struct link_queue {
    std::map<std::uint64_t, pending> by_order;
    std::map<instance_name, std::uint64_t> order_of;
  };

  gossip_limits limits_;
  std::map<instance_name, link_queue> links_;
  std::uint64_t next_order_ = 0;
};

/// Size of a record in a `records` message, in bytes.
[[nodiscard]] std::size_t encoded_size(const instance_record& record);

}  // namespace crocusdoor

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "membership/instance_record.h"

namespace crocusdoor {

/// Size limits of a gossip queue.
struct gossip_limits {
  std::size_t bytes_per_round = 32'000;  ///< Maximum size of the encoded records on one link.
};

/// Queue of changed records to send, one for each link. A change is sent at most once on each link:
/// an open link delivers reliably, and records lost with a closed link are found by comparing
/// fingerprints (`directory::bucket_fingerprints`).
///
/// The links are those to the neighbours that this daemon chose with `control_neighbours`, not
/// those from daemons that chose it: the chosen links alone reach every daemon, and using both
/// would double the traffic.
class gossip_queue {
 public:
  explicit gossip_queue(gossip_limits limits = {}) : limits_(limits) {}

  /// Sets the links to send on. Records queued for a removed link are dropped.
  void set_links(const std::vector<instance_name>& links);

  /// Queues a changed record for all links except the one it came from. It replaces an older
  /// queued record of the same instance.
  void push(const instance_record& changed, const instance_name& received_from = {});

  /// Notes that the peer has this record, since it sent it: removes the record, or an older one of
  /// the same instance, from the queue of that link.
  void known_by(const instance_name& link, const instance_record& record);

  /// Records to send on a link in this round, at most `bytes_per_round` when encoded, but at least
  /// one if any is queued.
  [[nodiscard]] std::vector<instance_record> next_batch(const instance_name& link);

  /// Number of queued records over all links.
  [[nodiscard]] std::size_t waiting() const noexcept;

 private:
  struct pending {
    instance_record record;
    std::size_t bytes = 0;
  };
  /// Queued records in the order of their first change. A later change of an instance keeps its
  /// position, so that an instance that changes often is not moved to the end each time.
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

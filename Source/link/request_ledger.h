#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "core/time.h"
#include "wire/message.h"

namespace crocusdoor {

/// Limits of a request ledger.
struct request_ledger_limits {
  std::size_t requests = 8'192;            ///< Maximum number of records, over all senders.
  std::size_t response_bytes = 8'000'000;  ///< Maximum size of the recorded responses.
  /// How long a response is kept for `call_status` queries, which arrive within about 6 s after a
  /// link goes silent.
  duration response_retention = std::chrono::seconds(15);
  /// How long a sender without recorded requests is kept. Much longer than a request can stay in
  /// the buffers of a lost link.
  duration sender_retention = std::chrono::hours(24);
  std::size_t senders = 20'000;  ///< Maximum number; requests of further senders are refused.
};

/// What the receiver does with a request that arrives.
enum class receive_result {
  accepted,   ///< First arrival, recorded as waiting: run it or respond to it.
  duplicate,  ///< Already recorded: do nothing; its response will be sent or can be queried.
  refused,    ///< Respond "not run": the request is not run, now or later.
};

/// The receiver's record of each request id. Request ids of one sender incarnation increase, and
/// the sender writes each of them to one link only.
///
/// Evicting a record raises the id floor of its sender. A request at or below the floor that has no
/// record is refused on arrival and reported as `forgotten` to a query, so a request that ran is
/// never reported as never received because its record was evicted.
class request_ledger {
 public:
  explicit request_ledger(request_ledger_limits limits = {}) : limits_(limits) {}

  /// Records that a process of a sender has opened a link. Requests of earlier processes of that
  /// sender that arrive later are refused.
  void sender_started(const instance_name& sender, std::uint64_t sender_incarnation,
                      time_point now) {
    sender_for(sender, sender_incarnation, now);
  }

  /// Records a request that arrived and returns what to do with it.
  [[nodiscard]] receive_result receive(const instance_name& sender,
                                       std::uint64_t sender_incarnation, wire::request_id id,
                                       time_point now);

  /// Records that the request was passed to the target.
  void set_running(const instance_name& sender, std::uint64_t sender_incarnation,
                   wire::request_id id);

  /// Records the response to a request, which may also be "not run".
  void set_done(const instance_name& sender, std::uint64_t sender_incarnation,
                const wire::call_answer& response, time_point now);

  /// Returns the progress of a request to a sender that queries it after its link was lost. "Never
  /// received" is binding: it is recorded, and the request is refused if it arrives later.
  [[nodiscard]] wire::call_status_answer query(const instance_name& sender,
                                               std::uint64_t sender_incarnation,
                                               wire::request_id id, time_point now);

  /// Evicts expired responses and senders. Call about once a second.
  void expire(time_point now);

  [[nodiscard]] std::size_t size() const noexcept { return requests_.size(); }
  [[nodiscard]] std::size_t response_bytes() const noexcept { return response_bytes_; }
  [[nodiscard]] std::size_t senders() const noexcept { return senders_.size(); }

 private:
  using key = std::tuple<instance_name, std::uint64_t, wire::request_id>;
  struct request {
    wire::call_progress progress = wire::call_progress::waiting;
    std::optional<wire::call_answer> response;
    std::size_t bytes = 0;  ///< Size of the response.
    time_point settled_at;  ///< When its response was recorded or it was declared never received.
  };
  struct sender_state {
    std::uint64_t incarnation = 0;
    wire::request_id floor = 0;  ///< Highest evicted or refused id of this incarnation.
    time_point last_seen_at;
  };

  sender_state* sender_for(const instance_name& sender, std::uint64_t incarnation, time_point now);
  void settle(const key& request_key, request& entry, wire::call_progress progress, time_point now);
  bool make_room();
  void evict(const key& request_key);
  void expire_senders(time_point now);

  request_ledger_limits limits_;
  std::map<instance_name, sender_state> senders_;
  std::map<key, request> requests_;
  std::set<std::pair<time_point, key>> settled_;  ///< Evictable requests, oldest first.
  std::size_t response_bytes_ = 0;
  /// Senders are checked less often than requests, because checking thousands of them each second
  /// would cost too much.
  time_point next_sender_check_;
};

}  // namespace crocusdoor

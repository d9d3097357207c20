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

/// Sizes and times of a request ledger.
struct request_ledger_limits {
  std::size_t requests = 8'192;            ///< Records of requests, of all senders together.
  std::size_t response_bytes = 8'000'000;  ///< Bodies and headers of kept answers.
  /// How long an answer is kept for queries; they come within about 6 s after a link goes silent.
  duration response_retention = std::chrono::seconds(15);
  /// How long a sender without requests is remembered. Far longer than a request can stay in the
  /// buffers of a lost link.
  duration sender_retention = std::chrono::hours(24);
  std::size_t senders = 20'000;  ///< Requests of further senders are refused.
};

/// What the receiver does with an arriving request.
enum class receive_result {
  accepted,   ///< First arrival: recorded as waiting; run it or answer it.
  duplicate,  ///< Known already: do nothing; its answer is on its way or can be queried.
  refused,    ///< Answer "not run": the request has not run here and never will.
};

/// What a receiver knows of each request id. Request ids of one sender incarnation rise, and the
/// sender writes each of them to one link only.
///
/// A record that is evicted raises a floor for its sender; at or below the floor an unknown request
/// is refused on arrival and `forgotten` in a query, so eviction never turns a request that ran
/// into one that was never received.
class request_ledger {
 public:
  explicit request_ledger(request_ledger_limits limits = {}) : limits_(limits) {}

  /// A process of a sender has a link. Requests of earlier processes that arrive from now on are
  /// refused.
  void sender_started(const instance_name& sender, std::uint64_t sender_incarnation,
                      time_point now) {
    sender_for(sender, sender_incarnation, now);
  }

  /// A request arrived.
  [[nodiscard]] receive_result receive(const instance_name& sender,
                                       std::uint64_t sender_incarnation, wire::request_id id,
                                       time_point now);

  /// The request was handed to the target.
  void set_running(const instance_name& sender, std::uint64_t sender_incarnation,
                   wire::request_id id);

  /// The request has this answer (also "not run").
  void set_done(const instance_name& sender, std::uint64_t sender_incarnation,
                const wire::call_answer& answer, time_point now);

  /// Answers a sender that asks after a lost link. "Never received" is binding: it is recorded and
  /// the request is refused if it arrives later.
  [[nodiscard]] wire::call_status_answer query(const instance_name& sender,
                                               std::uint64_t sender_incarnation,
                                               wire::request_id id, time_point now);

  /// Evicts what is too old. Call about once a second.
  void expire(time_point now);

  [[nodiscard]] std::size_t size() const noexcept { return requests_.size(); }
  [[nodiscard]] std::size_t response_bytes() const noexcept { return response_bytes_; }
  [[nodiscard]] std::size_t senders() const noexcept { return senders_.size(); }

 private:
  using key = std::tuple<instance_name, std::uint64_t, wire::request_id>;
  struct request {
    wire::call_progress progress = wire::call_progress::waiting;
    std::optional<wire::call_answer> answer;
    std::size_t bytes = 0;
    time_point settled;  ///< When it was answered or declared never received.
  };
  struct sender_state {
    std::uint64_t incarnation = 0;
    wire::request_id floor = 0;  ///< Highest evicted or refused id of this incarnation.
    time_point heard;
  };

  sender_state* sender_for(const instance_name& sender, std::uint64_t incarnation, time_point now);
  void settle(const key& id, request& entry, wire::call_progress progress, time_point now);
  bool make_room();
  void evict(const key& id);
  void expire_senders(time_point now);

  request_ledger_limits limits_;
  std::map<instance_name, sender_state> senders_;
  std::map<key, request> requests_;
  std::set<std::pair<time_point, key>> settled_;  ///< Evictable requests, oldest first.
  std::size_t response_bytes_ = 0;
  time_point
      next_sender_check_;  ///< Checking thousands of senders each second would cost too much.
};

}  // namespace crocusdoor

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "core/time.h"
#include "transport/buffer_account.h"
#include "transport/http_types.h"

namespace crocusdoor {

/// A request whose end has not arrived.
struct incomplete_request {
  std::uint64_t id = 0;  ///< Rises with the time at which the request began.
  std::size_t bytes = 0;
  time_point last_received_at{};
  bool has_unread_input = false;  ///< Whether its client has sent more, which has not been read.
  friend bool operator==(const incomplete_request&, const incomplete_request&) = default;
};

struct read_decision {
  std::set<std::uint64_t> may_read;    ///< The others are not read until the next decision.
  std::vector<std::uint64_t> silent;   ///< Refused: their clients have sent nothing for longest.
  std::vector<std::uint64_t> largest;  ///< Refused: they hold the most.
  friend bool operator==(const read_decision&, const read_decision&) = default;
};

/// Decides which incomplete requests are read and which are refused while the buffered bytes of a
/// process are near their budget.
///
/// Small requests are always read. Large ones are read in turns, in the order in which they began.
/// A turn has a limited time, after which the request goes to the end of the order with all that
/// has been read. So a client that is slow but makes progress is read again and again, and clients
/// that send next to nothing cannot keep the turns. A request is refused if its client has sent
/// nothing for a while, whether or not it was being read; and, if that does not suffice, the
/// largest one.
class read_schedule {
 public:
  /// Requests up to this size are always read. A socket is read in pieces of this size.
  static constexpr std::size_t small_request_bytes = 16'384;
  /// A client that has sent nothing for this long may be refused. It is several times the longest
  /// gap that a client leaves which sends on a working link.
  static constexpr duration silence_limit = std::chrono::seconds(1);
  /// Time of one turn. A client on a link of 10 Mbit/s sends a body of the full size within it.
  static constexpr duration turn_time = std::chrono::seconds(2);
  /// Bytes set aside for each turn: a body of the full size and its copies when it is forwarded.
  static constexpr std::size_t turn_bytes = 4 * http_body_limit_bytes;

  [[nodiscard]] read_decision decide(const buffer_account& account,
                                     std::vector<incomplete_request> requests, time_point now);
  [[nodiscard]] bool has_turn(std::uint64_t id) const { return turns_.contains(id); }

 private:
  using request_list = std::vector<incomplete_request>;

  void update_order(const request_list& requests, time_point now);
  void fill_turns(std::size_t count, time_point now);

  std::map<std::uint64_t, time_point> turns_;  ///< Requests that have a turn, and its beginning.
  std::deque<std::uint64_t> order_;            ///< Large requests without a turn, next one first.
};

}  // namespace crocusdoor

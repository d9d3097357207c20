#include "transport/read_schedule.h"

#include <algorithm>

namespace crocusdoor {

namespace {

using request_list = std::vector<incomplete_request>;

/// Bytes by which a request that is read again is expected to grow before the next decision.
constexpr std::size_t growth_bytes = 65'536;
/// A turn ends early if its client sends nothing for this long, so that clients which stop short do
/// not keep the turns until they are refused. It is longer than the gaps on a working link.
constexpr duration turn_silence = std::chrono::milliseconds(200);

bool is_large(const incomplete_request& request) {
  return request.bytes > read_schedule::small_request_bytes;
}

duration silence(const incomplete_request& request, time_point now) {
  return request.has_unread_input ? duration::zero() : now - request.last_received_at;
}

/// Removes the request from the list and from the total; returns its id.
std::uint64_t refuse(request_list& requests, request_list::iterator refused, std::size_t& total) {
  const std::uint64_t id = refused->id;
  total -= std::min(total, refused->bytes);
  requests.erase(refused);
  return id;
}

/// Refuses requests whose clients have sent nothing for longest, until half of the budget is free.
/// Small ones are refused only while the budget is exhausted.
std::vector<std::uint64_t> refuse_silent(request_list& requests, const buffer_account& account,
                                         std::size_t& total, time_point now) {
  std::vector<std::uint64_t> refused;
  while (total > account.budget() / 2) {
    const bool any_size = total >= account.budget();
    const auto longest = std::max_element(
        requests.begin(), requests.end(),
        [&](const incomplete_request& left, const incomplete_request& right) {
          const auto rank = [&](const incomplete_request& request) {
            return any_size || is_large(request) ? silence(request, now) : duration::min();
          };
          return rank(left) < rank(right);
        });
    if (longest == requests.end() || silence(*longest, now) < read_schedule::silence_limit ||
        (!any_size && !is_large(*longest))) {
      break;
    }
    refused.push_back(refuse(requests, longest, total));
  }
  return refused;
}

}  // namespace

read_decision read_schedule::decide(const buffer_account& account, request_list requests,
                                    time_point now) {
  read_decision decision;
  std::size_t total = account.total();
  if (total >= account.limited_from()) {
    decision.silent = refuse_silent(requests, account, total, now);
  }
  std::size_t incomplete = 0;
  for (const incomplete_request& request : requests) {
    incomplete += request.bytes;
  }
  while (total >= account.budget() && !requests.empty()) {
    // One without a turn, if there is any.
    const auto largest =
        std::max_element(requests.begin(), requests.end(),
                         [this](const incomplete_request& left, const incomplete_request& right) {
                           return std::pair(!has_turn(left.id), left.bytes) <
                                  std::pair(!has_turn(right.id), right.bytes);
                         });
    // Links, responses or forwarded requests alone use up the budget: refusing small requests
    // would free next to nothing.
    if (!is_large(*largest) && total >= account.budget() + incomplete) {
      break;
    }
    incomplete -= largest->bytes;
    decision.largest.push_back(refuse(requests, largest, total));
  }
  update_order(requests, now);
  const std::size_t turns =
      std::max<std::size_t>(1, (account.budget() - account.limited_from()) / turn_bytes);
  const std::size_t room =
      total < account.limited_from() ? (account.limited_from() - total) / growth_bytes : 0;
  fill_turns(std::max(turns, room), now);
  for (const incomplete_request& request : requests) {
    if (!is_large(request) || has_turn(request.id)) {
      decision.may_read.insert(request.id);
    }
  }
  return decision;
}

/// Removes requests that have ended, adds new ones, and moves those whose turns have ended to the
/// end of the order.
void read_schedule::update_order(const request_list& requests, time_point now) {
  std::set<std::uint64_t> present;
  std::set<std::uint64_t> silent;
  for (const incomplete_request& request : requests) {
    if (is_large(request)) {
      present.insert(request.id);
    }
    if (silence(request, now) >= turn_silence) {
      silent.insert(request.id);
    }
  }
  std::erase_if(turns_, [&](const auto& turn) { return !present.contains(turn.first); });
  std::erase_if(order_, [&](std::uint64_t id) { return !present.contains(id); });
  std::set<std::uint64_t> known(order_.begin(), order_.end());
  for (const std::uint64_t id : present) {
    if (!known.contains(id) && !turns_.contains(id)) {
      order_.push_back(id);
    }
  }
  std::erase_if(turns_, [&](const auto& turn) {
    const bool used = now - turn.second >= turn_time || silent.contains(turn.first);
    const bool ended = used && !order_.empty();
    if (ended) {
      order_.push_back(turn.first);
    }
    return ended;
  });
}

void read_schedule::fill_turns(std::size_t count, time_point now) {
  while (turns_.size() < count && !order_.empty()) {
    turns_.emplace(order_.front(), now);
    order_.pop_front();
  }
  // Turns that were given while there was more room are taken back, latest request first.
  while (turns_.size() > count) {
    order_.push_front(std::prev(turns_.end())->first);
    turns_.erase(std::prev(turns_.end()));
  }
}

}  // namespace crocusdoor

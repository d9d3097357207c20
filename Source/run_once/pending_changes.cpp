#include "run_once/pending_changes.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocusdoor {

namespace {

/// Estimates the encoded size. `fixed_bytes` covers field names, identifiers and numbers.
std::size_t encoded_size(const log_entry& entry) {
  constexpr std::size_t fixed_bytes = 320;
  const std::size_t answer_bytes =
      entry.answer.has_value() ? entry.answer->body.bytes.size() + entry.answer->content_type.size()
                               : 0;
  return fixed_bytes + entry.operation.action.str().size() + entry.operation.key.str().size() +
         answer_bytes;
}

}  // namespace

void pending_changes::add(pending_change change) {
  if (change.entry.kind == entry_kind::claim) {
    claimed_bodies_.insert_or_assign(change.entry.operation, change.entry.body_digest);
  }
  queue_.push_back(std::move(change));
}

std::vector<log_entry> pending_changes::start_batch(std::size_t limit_bytes) {
  std::vector<log_entry> entries;
  std::size_t bytes = 0;
  auto end = queue_.begin();
  while (end != queue_.end()) {
    bytes += encoded_size(end->entry);
    if (!entries.empty() && bytes > limit_bytes) {
      break;
    }
    entries.push_back(end->entry);
    ++end;
  }
  in_flight_.assign(std::make_move_iterator(queue_.begin()), std::make_move_iterator(end));
  queue_.erase(queue_.begin(), end);
  return entries;
}

std::vector<pending_change> pending_changes::finish_batch() {
  for (const pending_change& change : in_flight_) {
    if (change.entry.kind == entry_kind::claim) {
      claimed_bodies_.erase(change.entry.operation);
    }
  }
  return std::exchange(in_flight_, {});
}

void pending_changes::put_back(std::vector<pending_change> changes) {
  queue_.insert(queue_.begin(), std::make_move_iterator(changes.begin()),
                std::make_move_iterator(changes.end()));
}

std::vector<pending_change> pending_changes::take_all() {
  std::vector<pending_change> all = finish_batch();
  all.insert(all.end(), std::make_move_iterator(queue_.begin()),
             std::make_move_iterator(queue_.end()));
  queue_.clear();
  claimed_bodies_.clear();
  return all;
}

const digest* pending_changes::claimed_body(const operation_key& operation) const {
  const auto found = claimed_bodies_.find(operation);
  return found == claimed_bodies_.end() ? nullptr : &found->second;
}

std::optional<time_point> pending_changes::earliest_deadline() const {
  std::optional<time_point> earliest;
  for (const auto* changes : {&in_flight_, &queue_}) {
    for (const pending_change& change : *changes) {
      if (change.entry.kind == entry_kind::claim && change.ticket.has_value()) {
        earliest = std::min(earliest.value_or(change.deadline), change.deadline);
      }
    }
  }
  return earliest;
}

}  // namespace crocusdoor

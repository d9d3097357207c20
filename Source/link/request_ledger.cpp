#include "link/request_ledger.h"

#include <algorithm>

namespace crocusdoor {

namespace {

std::size_t size_of(const wire::call_answer& response) {
  std::size_t bytes = sizeof(response) + response.body.bytes.size() + response.reason.size();
  for (const auto& [name, value] : response.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

}  // namespace

request_ledger::sender_state* request_ledger::sender_for(const instance_name& sender,
                                                         std::uint64_t incarnation,
                                                         time_point now) {
  const auto found = senders_.find(sender);
  if (found == senders_.end()) {
    if (senders_.size() >= limits_.senders) {
      return nullptr;
    }
    return &senders_.emplace(sender, sender_state{incarnation, 0, now}).first->second;
  }
  if (found->second.incarnation > incarnation) {
    return nullptr;
  }
  if (found->second.incarnation < incarnation) {
    found->second = {incarnation, 0, now};
  }
  found->second.last_seen_at = now;
  return &found->second;
}

receive_result request_ledger::receive(const instance_name& sender,
                                       std::uint64_t sender_incarnation, wire::request_id id,
                                       time_point now) {
  const key request_key(sender, sender_incarnation, id);
  const auto found = requests_.find(request_key);
  if (found != requests_.end()) {
    return found->second.progress == wire::call_progress::never_received
               ? receive_result::refused
               : receive_result::duplicate;
  }
  sender_state* state = sender_for(sender, sender_incarnation, now);
  if (state == nullptr || id <= state->floor) {
    return receive_result::refused;
  }
  if (!make_room()) {
    state->floor = id;
    return receive_result::refused;
  }
  if (id <= state->floor) {
    return receive_result::refused;
  }
  requests_.emplace(request_key, request{});
  return receive_result::accepted;
}

void request_ledger::set_running(const instance_name& sender, std::uint64_t sender_incarnation,
                                 wire::request_id id) {
  const auto found = requests_.find({sender, sender_incarnation, id});
  if (found != requests_.end() && found->second.progress == wire::call_progress::waiting) {
    found->second.progress = wire::call_progress::running;
  }
}

void request_ledger::set_done(const instance_name& sender, std::uint64_t sender_incarnation,
                              const wire::call_answer& response, time_point now) {
  const auto found = requests_.find({sender, sender_incarnation, response.id});
  if (found == requests_.end() || found->second.progress == wire::call_progress::done ||
      found->second.progress == wire::call_progress::never_received) {
    return;
  }
  found->second.response = response;
  found->second.bytes = size_of(response);
  response_bytes_ += found->second.bytes;
  settle(found->first, found->second, wire::call_progress::done, now);
  while (response_bytes_ > limits_.response_bytes) {
    evict(key(settled_.begin()->second));
  }
}

wire::call_status_answer request_ledger::query(const instance_name& sender,
                                               std::uint64_t sender_incarnation,
                                               wire::request_id id, time_point now) {
  wire::call_status_answer result;
  result.id = id;
  const key request_key(sender, sender_incarnation, id);
  const auto found = requests_.find(request_key);
  if (found != requests_.end()) {
    result.progress = found->second.progress;
    result.answer = found->second.response;
    return result;
  }
  const sender_state* state = sender_for(sender, sender_incarnation, now);
  if (state == nullptr || id <= state->floor || !make_room() || id <= state->floor) {
    return result;
  }
  request& entry = requests_[request_key];
  settle(request_key, entry, wire::call_progress::never_received, now);
  result.progress = wire::call_progress::never_received;
  return result;
}

void request_ledger::settle(const key& request_key, request& entry, wire::call_progress progress,
                            time_point now) {
  entry.progress = progress;
  entry.settled_at = now;
  settled_.emplace(now, request_key);
}

bool request_ledger::make_room() {
  if (requests_.size() < limits_.requests) {
    return true;
  }
  if (settled_.empty()) {
    return false;
  }
  evict(key(settled_.begin()->second));
  return true;
}

void request_ledger::evict(const key& request_key) {
  const auto found = requests_.find(request_key);
  const auto sender = senders_.find(std::get<instance_name>(request_key));
  if (sender != senders_.end() && sender->second.incarnation == std::get<1>(request_key)) {
    sender->second.floor = std::max(sender->second.floor, std::get<2>(request_key));
  }
  settled_.erase({found->second.settled_at, request_key});
  response_bytes_ -= found->second.bytes;
  requests_.erase(found);
}

void request_ledger::expire(time_point now) {
  while (!settled_.empty() && settled_.begin()->first + limits_.response_retention <= now) {
    evict(key(settled_.begin()->second));
  }
  if (now >= next_sender_check_) {
    next_sender_check_ = now + limits_.sender_retention / 100;
    expire_senders(now);
  }
}

void request_ledger::expire_senders(time_point now) {
  for (auto sender = senders_.begin(); sender != senders_.end();) {
    const auto first_request = requests_.lower_bound({sender->first, 0, 0});
    const bool in_use = first_request != requests_.end() &&
                        std::get<instance_name>(first_request->first) == sender->first;
    const bool expired = sender->second.last_seen_at + limits_.sender_retention <= now;
    sender = expired && !in_use ? senders_.erase(sender) : std::next(sender);
  }
}

}  // namespace crocusdoor

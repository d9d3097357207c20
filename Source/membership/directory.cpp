#include "membership/directory.h"

#include <algorithm>
#include <utility>

#include "core/digest.h"
#include "membership/record_order.h"

namespace crocusdoor {

namespace {

// Upper bound of received incarnations and sequences. A refutation adds one; the result must still
// fit the signed 64-bit integers of the encoding.
constexpr std::uint64_t number_limit = std::uint64_t{1} << 62U;

}  // namespace

directory::directory(const instance_record& self, directory_limits limits) : limits_(limits) {
  store(self, time_point{});
  self_ = &entries_.at(self.name).record;
}

bool directory::is_acceptable(const instance_record& record) const {
  return !record.name.empty() && record.incarnation < number_limit &&
         record.sequence < number_limit &&
         (entries_.size() < limits_.records || entries_.count(record.name) != 0);
}

bool directory::merge(const instance_record& record, time_point now) {
  if (!is_acceptable(record)) {
    ++refused_records_;
    return false;
  }
  if (record.name == self_->name) {
    return merge_about_self(record);
  }
  const auto current = entries_.find(record.name);
  if (current == entries_.end()) {
    store(record, now);
    return true;
  }
  if (!is_taken_over(record, current->second)) {
    return false;
  }
  instance_record accepted = record;
  const instance_state before = current->second.record.state;
  if (record.state == instance_state::dead && is_announced(before) && !is_gone(before)) {
    accepted.state = instance_state::suspect;
  }
  store(accepted, now);
  return true;
}

bool directory::is_taken_over(const instance_record& record, const entry& current) const {
  const bool replaces_provisional = current.provisional && is_announced(record.state) &&
                                    record.incarnation == current.record.incarnation &&
                                    record.sequence == current.record.sequence;
  return replaces_provisional || replaces(record, current.record);
}

bool directory::merge_about_self(const instance_record& record) {
  if (!replaces(record, *self_) || self_->state == instance_state::left) {
    return false;
  }
  if (record.incarnation > self_->incarnation) {
    // Either another process of this name started later, or the clock of this machine was set back
    // between two starts. They are distinguished over time: in the second case no process
    // responds for the later incarnation, so its record becomes dead.
    superseded_ = !is_gone(record.state);
    if (superseded_) {
      return false;
    }
    set_self_version(record.incarnation + 1, self_->sequence);
    return true;
  }
  set_self_version(self_->incarnation, record.sequence + 1);
  return true;
}

void directory::set_self_version(std::uint64_t incarnation, std::uint64_t sequence) {
  instance_record updated = *self_;
  updated.incarnation = incarnation;
  updated.sequence = sequence;
  store(updated, time_point{});
}

std::optional<instance_record> directory::set_self_state(instance_state state, time_point now) {
  if (self_->state == state || self_->state == instance_state::left || !is_announced(state)) {
    return std::nullopt;
  }
  instance_record changed = *self_;
  changed.state = state;
  ++changed.sequence;
  store(changed, now);
  return changed;
}

std::optional<instance_record> directory::neighbour_lost(const instance_name& name,
                                                         std::uint64_t incarnation,
                                                         time_point now) {
  const instance_record* current = find(name);
  if (current == nullptr || current == self_ || current->incarnation != incarnation ||
      current->state == instance_state::suspect || is_gone(current->state)) {
    return std::nullopt;
  }
  instance_record suspected = *current;
  suspected.state = instance_state::suspect;
  store(suspected, now);
  if (is_isolated(now)) {
    entries_.at(name).provisional = true;
    return std::nullopt;
  }
  return suspected;
}

bool directory::is_isolated(time_point now) const {
  return now - last_seen_at_ > limits_.isolation;
}

std::optional<instance_record> directory::neighbour_seen(const instance_name& name,
                                                         std::uint64_t incarnation,
                                                         time_point now) {
  last_seen_at_ = std::max(last_seen_at_, now);
  const instance_record* current = find(name);
  if (current == nullptr || current->incarnation != incarnation || is_announced(current->state)) {
    return std::nullopt;
  }
  return *current;
}

std::vector<instance_record> directory::tick(time_point now) {
  std::vector<instance_record> changed;
  while (!expirations_.empty() && expirations_.begin()->first <= now) {
    entry& current = entries_.at(expirations_.begin()->second);
    if (current.record.state == instance_state::suspect) {
      instance_record dead = current.record;
      dead.state = instance_state::dead;
      const bool provisional = current.provisional;
      store(dead, now);
      current.provisional = provisional || in_minority_;
      if (!is_isolated(now)) {
        changed.push_back(std::move(dead));
      }
    } else {
      remove_from_indexes(current);
      entries_.erase(instance_name(current.record.name));
      ++revision_;
    }
  }
  return changed;
}

std::vector<instance_record> directory::all() const {
  std::vector<instance_record> records;
  records.reserve(entries_.size());
  for (const auto& [name, current] : entries_) {
    records.push_back(current.record);
  }
  return records;
}

std::vector<instance_record> directory::live() const {
  std::vector<instance_record> records;
  records.reserve(members_.size());
  for (const auto& [name, current] : entries_) {
    if (!is_gone(current.record.state)) {
      records.push_back(current.record);
    }
  }
  return records;
}

std::vector<instance_record> directory::ready_upstreams(const service_name& service) const {
  std::vector<instance_record> ready;
  std::vector<instance_record> suspect;
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return ready;
  }
  for (const instance_name& name : found->second) {
    const entry& current = entries_.at(name);
    if (current.record.state == instance_state::ready) {
      ready.push_back(current.record);
    } else if (current.record.state == instance_state::suspect &&
               current.announced == instance_state::ready) {
      suspect.push_back(current.record);
    }
  }
  if (suspect.size() > ready.size()) {
    ready.insert(ready.end(), suspect.begin(), suspect.end());
  }
  return ready;
}

const instance_record* directory::find(const instance_name& name) const {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : &found->second.record;
}

std::vector<service_name> directory::services() const {
  std::vector<service_name> names;
  names.reserve(services_.size());
  for (const auto& [name, members] : services_) {
    names.push_back(name);
  }
  return names;
}

void directory::add_hint(const instance_record& announcement) {
  const instance_record* current = find(announcement.name);
  const bool known = current != nullptr &&
                     (current->incarnation > announcement.incarnation || !is_gone(current->state));
  if (!known && (hints_.size() < limits_.hints || hints_.count(announcement.name) != 0)) {
    hints_[announcement.name] = announcement;
  }
}

void directory::contact_failed(const instance_name& name) {
  hints_.erase(name);
}

std::vector<instance_record> directory::contacts(std::size_t count, random_source& random) const {
  std::vector<instance_record> candidates;
  for (const auto& [name, hint] : hints_) {
    candidates.push_back(hint);
  }
  for (const auto& [expires_at, name] : expirations_) {
    const instance_record& record = entries_.at(name).record;
    if (record.state == instance_state::dead && hints_.count(name) == 0) {
      candidates.push_back(record);
    }
  }
  const std::size_t kept = std::min(count, candidates.size());
  for (std::size_t i = 0; i < kept; ++i) {
    std::swap(candidates[i], candidates[i + random.index(candidates.size() - i)]);
  }
  candidates.resize(kept);
  return candidates;
}

std::vector<instance_record> directory::differing(const fingerprints& of_peer) const {
  std::vector<instance_record> records;
  for (const auto& [name, current] : entries_) {
    const std::size_t bucket = bucket_of(name);
    const bool differs = of_peer.size() != bucket_count || buckets_[bucket] != of_peer[bucket];
    if (differs && !current.first_seen_gone && !current.provisional) {
      records.push_back(current.record);
    }
  }
  return records;
}

void directory::store(const instance_record& record, time_point now) {
  const auto [place, inserted] = entries_.try_emplace(record.name);
  entry& current = place->second;
  if (inserted) {
    current.first_seen_gone = is_gone(record.state);
  } else {
    remove_from_indexes(current);
  }
  if (is_announced(record.state)) {
    current.announced = record.state;
    current.first_seen_gone = current.first_seen_gone && is_gone(record.state);
  } else if (inserted || record.incarnation != current.record.incarnation) {
    current.announced = instance_state::starting;
  }
  current.record = record;
  current.provisional = in_minority_ && !is_announced(record.state);
  add_to_indexes(current, now);
  update_in_minority();
  const auto hint = hints_.find(record.name);
  if (hint != hints_.end() && hint->second.incarnation <= record.incarnation) {
    hints_.erase(hint);
  }
  ++revision_;
}

void directory::update_in_minority() {
  const bool was_in_minority = std::exchange(in_minority_, dead_count_ > members_.size());
  if (!in_minority_ || was_in_minority) {
    return;
  }
  for (const auto& [expires_at, name] : expirations_) {
    entry& current = entries_.at(name);
    current.provisional = !is_announced(current.record.state);
  }
}

void directory::remove_from_indexes(const entry& current) {
  expirations_.erase({current.expires_at, current.record.name});
  dead_count_ -= current.record.state == instance_state::dead ? 1 : 0;
  if (is_gone(current.record.state)) {
    return;
  }
  members_.remove(current.record);
  toggle_fingerprint(current.record);
  const auto service = services_.find(current.record.service);
  service->second.erase(current.record.name);
  if (service->second.empty()) {
    services_.erase(service);
  }
}

void directory::add_to_indexes(entry& current, time_point now) {
  const instance_record& record = current.record;
  dead_count_ += record.state == instance_state::dead ? 1 : 0;
  if (is_gone(record.state)) {
    current.expires_at = now + limits_.retention;
    if (&record != self_) {
      expirations_.emplace(current.expires_at, record.name);
    }
    return;
  }
  if (record.state == instance_state::suspect) {
    current.expires_at = now + limits_.suspicion;
    expirations_.emplace(current.expires_at, record.name);
  }
  members_.put({member_index::position_of(record.name), record.state, current.announced, &record});
  services_[record.service].insert(record.name);
  toggle_fingerprint(record);
}

std::size_t directory::bucket_of(const instance_name& name) {
  return member_index::position_of(name) % bucket_count;
}

void directory::toggle_fingerprint(const instance_record& record) {
  const std::string text = record.name.str() + '/' + std::to_string(record.incarnation) + '/' +
                           std::to_string(record.sequence) + '/' +
                           std::string(to_string(record.state));
  buckets_[bucket_of(record.name)] ^= stable_hash(text);
}

}  // namespace crocusdoor

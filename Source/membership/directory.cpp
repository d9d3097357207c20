#include "membership/directory.h"

#include <algorithm>
#include <utility>

#include "core/digest.h"
#include "membership/record_order.h"

namespace crocusdoor {

namespace {

// Leaves room for refutations, which add one, within the signed 64-bit integers of the encoding.
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
  const auto held = entries_.find(record.name);
  if (held == entries_.end()) {
    store(record, now);
    return true;
  }
  if (!is_taken_over(record, held->second)) {
    return false;
  }
  instance_record taken = record;
  const instance_state before = held->second.record.state;
  if (record.state == instance_state::dead && is_announced(before) && !is_gone(before)) {
    taken.state = instance_state::suspect;
  }
  store(taken, now);
  return true;
}

bool directory::is_taken_over(const instance_record& record, const entry& held) const {
  const bool yields = held.provisional && is_announced(record.state) &&
                      record.incarnation == held.record.incarnation &&
                      record.sequence == held.record.sequence;
  return yields || replaces(record, held.record);
}

bool directory::merge_about_self(const instance_record& record) {
  if (!replaces(record, *self_) || self_->state == instance_state::left) {
    return false;
  }
  if (record.incarnation > self_->incarnation) {
    // Either a namesake started later, or this machine's clock was set back between two starts.
    // Both are told apart by time: the earlier process's record becomes dead.
    superseded_ = !is_gone(record.state);
    if (superseded_) {
      return false;
    }
    raise_self(record.incarnation + 1, self_->sequence);
    return true;
  }
  raise_self(self_->incarnation, record.sequence + 1);
  return true;
}

void directory::raise_self(std::uint64_t incarnation, std::uint64_t sequence) {
  instance_record raised = *self_;
  raised.incarnation = incarnation;
  raised.sequence = sequence;
  store(raised, time_point{});
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
  const instance_record* held = find(name);
  if (held == nullptr || held == self_ || held->incarnation != incarnation ||
      held->state == instance_state::suspect || is_gone(held->state)) {
    return std::nullopt;
  }
  instance_record suspected = *held;
  suspected.state = instance_state::suspect;
  store(suspected, now);
  if (is_isolated(now)) {
    entries_.at(name).provisional = true;
    return std::nullopt;
  }
  return suspected;
}

bool directory::is_isolated(time_point now) const {
  return now - heard_ > limits_.isolation;
}

std::optional<instance_record> directory::neighbour_seen(const instance_name& name,
                                                         std::uint64_t incarnation,
                                                         time_point now) {
  heard_ = std::max(heard_, now);
  const instance_record* held = find(name);
  if (held == nullptr || held->incarnation != incarnation || is_announced(held->state)) {
    return std::nullopt;
  }
  return *held;
}

std::vector<instance_record> directory::tick(time_point now) {
  std::vector<instance_record> changed;
  while (!due_.empty() && due_.begin()->first <= now) {
    entry& held = entries_.at(due_.begin()->second);
    if (held.record.state == instance_state::suspect) {
      instance_record dead = held.record;
      dead.state = instance_state::dead;
      const bool provisional = held.provisional;
      store(dead, now);
      held.provisional = provisional || cut_off_;
      if (!is_isolated(now)) {
        changed.push_back(std::move(dead));
      }
    } else {
      unlink(held);
      entries_.erase(instance_name(held.record.name));
      ++revision_;
    }
  }
  return changed;
}

std::vector<instance_record> directory::all() const {
  std::vector<instance_record> records;
  records.reserve(entries_.size());
  for (const auto& [name, held] : entries_) {
    records.push_back(held.record);
  }
  return records;
}

std::vector<instance_record> directory::live() const {
  std::vector<instance_record> records;
  records.reserve(members_.size());
  for (const auto& [name, held] : entries_) {
    if (!is_gone(held.record.state)) {
      records.push_back(held.record);
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
    const entry& held = entries_.at(name);
    if (held.record.state == instance_state::ready) {
      ready.push_back(held.record);
    } else if (held.record.state == instance_state::suspect &&
               held.announced == instance_state::ready) {
      suspect.push_back(held.record);
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
  const instance_record* held = find(announcement.name);
  const bool known =
      held != nullptr && (held->incarnation > announcement.incarnation || !is_gone(held->state));
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
  for (const auto& [due, name] : due_) {
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
  for (const auto& [name, held] : entries_) {
    const std::size_t bucket = bucket_of(name);
    const bool differs = of_peer.size() != bucket_count || buckets_[bucket] != of_peer[bucket];
    if (differs && !held.second_hand && !held.provisional) {
      records.push_back(held.record);
    }
  }
  return records;
}

void directory::store(const instance_record& record, time_point now) {
  const auto [place, inserted] = entries_.try_emplace(record.name);
  entry& held = place->second;
  if (inserted) {
    held.second_hand = is_gone(record.state);
  } else {
    unlink(held);
  }
  if (is_announced(record.state)) {
    held.announced = record.state;
    held.second_hand = held.second_hand && is_gone(record.state);
  } else if (inserted || record.incarnation != held.record.incarnation) {
    held.announced = instance_state::starting;
  }
  held.record = record;
  held.provisional = cut_off_ && !is_announced(record.state);
  link(held, now);
  update_cut_off();
  const auto hint = hints_.find(record.name);
  if (hint != hints_.end() && hint->second.incarnation <= record.incarnation) {
    hints_.erase(hint);
  }
  ++revision_;
}

void directory::update_cut_off() {
  const bool was_cut_off = std::exchange(cut_off_, dead_count_ > members_.size());
  if (!cut_off_ || was_cut_off) {
    return;
  }
  for (const auto& [due, name] : due_) {
    entry& held = entries_.at(name);
    held.provisional = !is_announced(held.record.state);
  }
}

void directory::unlink(const entry& held) {
  due_.erase({held.due, held.record.name});
  dead_count_ -= held.record.state == instance_state::dead ? 1 : 0;
  if (is_gone(held.record.state)) {
    return;
  }
  members_.remove(held.record);
  toggle_fingerprint(held.record);
  const auto service = services_.find(held.record.service);
  service->second.erase(held.record.name);
  if (service->second.empty()) {
    services_.erase(service);
  }
}

void directory::link(entry& held, time_point now) {
  const instance_record& record = held.record;
  dead_count_ += record.state == instance_state::dead ? 1 : 0;
  if (is_gone(record.state)) {
    held.due = now + limits_.retention;
    if (&record != self_) {
      due_.emplace(held.due, record.name);
    }
    return;
  }
  if (record.state == instance_state::suspect) {
    held.due = now + limits_.suspicion;
    due_.emplace(held.due, record.name);
  }
  members_.put({member_index::position_of(record.name), record.state, held.announced, &record});
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

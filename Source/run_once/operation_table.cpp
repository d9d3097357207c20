#include "run_once/operation_table.h"

#include <algorithm>

namespace crocusdoor {

namespace {

constexpr std::int64_t milliseconds_per_day = 86'400'000;

bool settled(const operation_record& record) {
  return record.progress == operation_progress::done ||
         record.progress == operation_progress::released;
}

operation_record record_of_claim(const log_entry& entry, std::uint64_t epoch) {
  operation_record record;
  record.operation = entry.operation;
  record.id = entry.id;
  record.body_digest = entry.body_digest;
  record.expires_at_ms = entry.expires_at_ms;
  record.epoch = epoch;
  record.retention_days = entry.retention_days;
  return record;
}

operation_progress progress_after(verdict outcome) {
  switch (outcome) {
    case verdict::ran:
      return operation_progress::done;
    case verdict::not_run:
      return operation_progress::released;
    case verdict::may_have_run:
      break;
  }
  return operation_progress::unknown;
}

}  // namespace

std::int64_t retained_until_ms(const operation_record& record) {
  return record.settled_at_ms + record.retention_days * milliseconds_per_day;
}

const operation_record* operation_table::find(const operation_key& operation) const {
  const auto found = entries_.find(operation);
  return found == entries_.end() ? nullptr : &found->second.record;
}

bool operation_table::accepts(const log_entry& entry) const {
  if (entry.kind == entry_kind::claim) {
    return true;
  }
  const operation_record* record = find(entry.operation);
  if (record == nullptr || record->id != entry.id || settled(*record)) {
    return false;
  }
  return entry.outcome != verdict::may_have_run || record->progress == operation_progress::running;
}

bool operation_table::reflects(const log_entry& entry) const {
  const operation_record* record = find(entry.operation);
  if (entry.kind == entry_kind::claim || record == nullptr || record->id != entry.id) {
    return false;
  }
  // The outcome of a settled operation is known, so a report of "may have run" adds nothing to it.
  return record->progress == progress_after(entry.outcome) ||
         (entry.outcome == verdict::may_have_run && settled(*record));
}

bool operation_table::apply(const log_entry& entry, std::uint64_t epoch) {
  if (!accepts(entry)) {
    return false;
  }
  if (entry.kind == entry_kind::claim) {
    put(record_of_claim(entry, epoch), "");
    return true;
  }
  operation_record record = *find(entry.operation);
  record.progress = progress_after(entry.outcome);
  record.answer = entry.answer;
  record.settled_at_ms = entry.at_ms;
  put(record, "");
  return true;
}

void operation_table::load(const operation_record& record, const std::string& part) {
  put(record, part);
}

void operation_table::put(const operation_record& record, const std::string& part) {
  table_entry& entry = entries_[record.operation];
  if (!entry.record.operation.key.empty()) {
    by_retention_end_.erase({retained_until_ms(entry.record), record.operation});
  }
  entry.record = record;
  move_to_part(entry, part);
  index_retention_end(record);
}

void operation_table::index_retention_end(const operation_record& record) {
  if (settled(record)) {
    by_retention_end_.insert({retained_until_ms(record), record.operation});
  }
}

void operation_table::move_to_part(table_entry& entry, const std::string& part) {
  const operation_key& operation = entry.record.operation;
  const auto previous = operations_by_part_.find(entry.part);
  if (previous != operations_by_part_.end()) {
    previous->second.erase(operation);
    if (previous->second.empty()) {
      operations_by_part_.erase(previous);
    }
  }
  entry.part = part;
  if (part.empty()) {
    not_checkpointed_.insert(operation);
  } else {
    not_checkpointed_.erase(operation);
    operations_by_part_[part].insert(operation);
  }
}

std::vector<operation_record> operation_table::not_checkpointed() const {
  std::vector<operation_record> records;
  records.reserve(not_checkpointed_.size());
  for (const operation_key& operation : not_checkpointed_) {
    records.push_back(entries_.at(operation).record);
  }
  return records;
}

void operation_table::assign_to_part(const std::vector<operation_record>& records,
                                     const std::string& part) {
  for (const operation_record& record : records) {
    const auto found = entries_.find(record.operation);
    if (found != entries_.end() && found->second.record == record) {
      move_to_part(found->second, part);
    }
  }
}

void operation_table::remove_from_part(const std::string& part) {
  const auto found = operations_by_part_.find(part);
  if (found == operations_by_part_.end()) {
    return;
  }
  const std::set<operation_key> members = found->second;
  for (const operation_key& operation : members) {
    move_to_part(entries_.at(operation), "");
  }
}

bool operation_table::part_has_open_operations(const std::string& part) const {
  const auto found = operations_by_part_.find(part);
  return found != operations_by_part_.end() &&
         std::any_of(found->second.begin(), found->second.end(), [&](const auto& operation) {
           return !settled(entries_.at(operation).record);
         });
}

void operation_table::discard_past_retention(wall_time wall) {
  const std::int64_t wall_ms = wall.time_since_epoch().count();
  while (!by_retention_end_.empty() && by_retention_end_.begin()->first < wall_ms) {
    const operation_key operation = by_retention_end_.begin()->second;
    by_retention_end_.erase(by_retention_end_.begin());
    const auto found = entries_.find(operation);
    move_to_part(found->second, "");
    not_checkpointed_.erase(operation);
    entries_.erase(found);
  }
}

void operation_table::for_each(const std::function<void(const operation_record&)>& visit) const {
  for (const auto& [operation, entry] : entries_) {
    visit(entry.record);
  }
}

}  // namespace crocusdoor

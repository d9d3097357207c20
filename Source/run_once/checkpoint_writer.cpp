#include "run_once/checkpoint_writer.h"

#include <algorithm>
#include <utility>

namespace crocusdoor {

namespace {

bool open(const operation_record& record) {
  return record.progress == operation_progress::running ||
         record.progress == operation_progress::unknown;
}

}  // namespace

checkpoint_writer::checkpoint_writer(std::uint32_t shard, const std::string& seed,
                                     std::size_t part_limit_bytes, duration backoff_first,
                                     duration backoff_cap)
    : shard_(shard),
      part_limit_bytes_(part_limit_bytes),
      backoff_(seed, backoff_first, backoff_cap) {
  current_.shard = shard;
}

void checkpoint_writer::adopt(const checkpoint_header& header, object_version version,
                              operation_table& table) {
  abandon();
  current_ = header;
  current_.shard = shard_;
  version_ = version;
  // A header doesn't say which parts are full, so the last part and all parts with open operations
  // are written again.
  rewritten_parts_.clear();
  if (!header.parts.empty()) {
    rewritten_parts_.push_back(header.parts.back());
  }
  for (const std::string& part : header.parts) {
    if (table.part_has_open_operations(part)) {
      rewritten_parts_.push_back(part);
    }
  }
}

void checkpoint_writer::start(operation_table& table, std::uint64_t through,
                              std::uint64_t first_batch, std::uint64_t epoch,
                              const std::string& identifier, shard_effects& effects) {
  for (const std::string& part : rewritten_parts_) {
    table.remove_from_part(part);
  }
  next_ = {shard_, through, first_batch, epoch, identifier, {}};
  for (const std::string& part : current_.parts) {
    if (table.part_in_use(part)) {
      next_.parts.push_back(part);
    }
  }
  std::vector<operation_record> records = table.not_checkpointed();
  const auto first_open = std::stable_partition(records.begin(), records.end(),
                                                [](const auto& record) { return !open(record); });
  rewritten_parts_.clear();
  split_into_parts({records.begin(), first_open}, true, identifier);
  split_into_parts({first_open, records.end()}, false, identifier);
  write_next_part(effects);
}

void checkpoint_writer::split_into_parts(const std::vector<operation_record>& records,
                                         bool may_be_kept, const std::string& identifier) {
  std::vector<operation_record> current;
  std::size_t bytes = 0;
  for (const operation_record& record : records) {
    const std::size_t size = to_object_content(record).size();
    if (!current.empty() && bytes + size > part_limit_bytes_) {
      add_part(std::exchange(current, {}), may_be_kept, identifier);
      bytes = 0;
    }
    current.push_back(record);
    bytes += size;
  }
  if (!current.empty()) {
    add_part(std::move(current), false, identifier);
  }
}

void checkpoint_writer::add_part(std::vector<operation_record> records, bool kept,
                                 const std::string& identifier) {
  part_to_write part;
  part.name =
      checkpoint_part_object_name(shard_, identifier + "-" + std::to_string(next_.parts.size()));
  part.content = to_object_content(checkpoint_part{records});
  part.records = std::move(records);
  part.kept = kept;
  next_.parts.push_back(part.name);
  if (!kept) {
    rewritten_parts_.push_back(part.name);
  }
  parts_.push_back(std::move(part));
}

void checkpoint_writer::write_next_part(shard_effects& effects) {
  retry_at_.reset();
  if (parts_.empty()) {
    step_ = step::header_waiting;
    return;
  }
  step_ = step::writing_part;
  in_flight_ = true;
  effects.emplace_back(create_object{parts_.front().name, parts_.front().content});
}

bool checkpoint_writer::header_ready(time_point now) const {
  return step_ == step::header_waiting && (!retry_at_.has_value() || now >= *retry_at_);
}

bool checkpoint_writer::header_in_flight() const {
  return step_ == step::writing_header || step_ == step::reading_header;
}

void checkpoint_writer::write_header(shard_effects& effects) {
  step_ = step::writing_header;
  in_flight_ = true;
  retry_at_.reset();
  effects.emplace_back(
      write_object{checkpoint_object_name(shard_), to_object_content(next_), version_});
}

bool checkpoint_writer::expects(const std::string& name) const {
  if (!in_flight_) {
    return false;
  }
  return step_ == step::writing_part ? name == parts_.front().name
                                     : name == checkpoint_object_name(shard_);
}

void checkpoint_writer::part_created(operation_table& table, shard_effects& effects) {
  in_flight_ = false;
  backoff_.reset();
  table.assign_to_part(parts_.front().records, parts_.front().name);
  parts_.pop_front();
  write_next_part(effects);
}

checkpoint_outcome checkpoint_writer::header_written(object_version version,
                                                     shard_effects& effects) {
  std::vector<std::string> replaced_parts;
  for (const std::string& part : current_.parts) {
    if (std::find(next_.parts.begin(), next_.parts.end(), part) == next_.parts.end()) {
      replaced_parts.push_back(part);
    }
  }
  if (!replaced_parts.empty()) {
    effects.emplace_back(delete_objects{std::move(replaced_parts)});
  }
  current_ = next_;
  version_ = version;
  abandon();
  return checkpoint_outcome::written;
}

void checkpoint_writer::header_changed(shard_effects& effects) {
  step_ = step::reading_header;
  in_flight_ = true;
  effects.emplace_back(read_object{checkpoint_object_name(shard_)});
}

checkpoint_outcome checkpoint_writer::header_read(const std::optional<std::string>& content,
                                                  object_version version, operation_table& table,
                                                  time_point now, shard_effects& effects) {
  in_flight_ = false;
  if (content.has_value()) {
    const auto found = try_from_object_content<checkpoint_header>(*content);
    if (found.has_value() && found->nonce == next_.nonce) {
      return header_written(version, effects);
    }
    if (found.has_value() && found->through >= next_.through) {
      return checkpoint_outcome::fenced;
    }
    if (found.has_value() && found->nonce != current_.nonce) {
      version_ = version;
      start_over(*found, table, effects);
      return checkpoint_outcome::pending;
    }
  }
  version_ = content.has_value() ? version : 0;
  back_off(now);
  return checkpoint_outcome::pending;
}

void checkpoint_writer::start_over(const checkpoint_header& found, operation_table& table,
                                   shard_effects& effects) {
  // The former owner wrote this header during the takeover and may have deleted parts that this
  // checkpoint was going to keep, so all records are written again.
  std::vector<std::string> unused_parts;
  for (const std::string& part : next_.parts) {
    table.remove_from_part(part);
    if (std::find(found.parts.begin(), found.parts.end(), part) == found.parts.end()) {
      unused_parts.push_back(part);
    }
  }
  effects.emplace_back(delete_objects{std::move(unused_parts)});
  current_ = found;
  rewritten_parts_.clear();
  abandon();
}

void checkpoint_writer::result_unknown(time_point now, shard_effects& effects) {
  in_flight_ = false;
  if (step_ == step::writing_header) {
    header_changed(effects);
    return;
  }
  back_off(now);
}

void checkpoint_writer::unavailable(time_point now) {
  in_flight_ = false;
  back_off(now);
}

void checkpoint_writer::back_off(time_point now) {
  // If the outcome of a header write is unknown, the header is written again with the same nonce.
  // Because the write is conditional, at most one of the attempts takes effect.
  if (header_in_flight()) {
    step_ = step::header_waiting;
  }
  retry_at_ = now + backoff_.next();
}

void checkpoint_writer::tick(time_point now, shard_effects& effects) {
  if (step_ == step::writing_part && !in_flight_ && retry_at_.has_value() && now >= *retry_at_) {
    write_next_part(effects);
  }
}

void checkpoint_writer::abandon() {
  step_ = step::idle;
  parts_.clear();
  in_flight_ = false;
  retry_at_.reset();
  backoff_.reset();
}

}  // namespace crocusdoor

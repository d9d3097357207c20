#include "run_once/log_reader.h"

#include <algorithm>

namespace crocusdoor {

void log_reader::start(shard_effects& effects) {
  *this = log_reader(shard_);
  request_next(effects);
}

void log_reader::resume(shard_effects& effects) {
  if (restart_needed_) {
    start(effects);
    return;
  }
  request_next(effects);
}

std::string log_reader::current_name() const {
  switch (step_) {
    case step::header:
      return checkpoint_object_name(shard_);
    case step::part:
      return header_.parts[parts_read_];
    case step::batch:
      break;
  }
  return batch_object_name(shard_, next_sequence_);
}

load_outcome log_reader::request_next(shard_effects& effects) {
  awaited_ = current_name();
  effects.emplace_back(read_object{awaited_});
  return load_outcome::pending;
}

load_outcome log_reader::fail(const std::string& name, const std::string& problem) {
  problem_ = name + " " + problem;
  restart_needed_ = true;
  return load_outcome::failed;
}

load_outcome log_reader::read(const std::optional<std::string>& content, object_version version,
                              shard_effects& effects) {
  const std::string name = awaited_;
  awaited_.clear();
  load_outcome outcome = load_outcome::pending;
  switch (step_) {
    case step::header:
      outcome = header_read(content, version);
      break;
    case step::part:
      outcome = part_read(content);
      break;
    case step::batch:
      outcome = batch_read(content);
      break;
  }
  return outcome == load_outcome::pending ? request_next(effects) : outcome;
}

load_outcome log_reader::header_read(const std::optional<std::string>& content,
                                     object_version version) {
  if (content.has_value()) {
    const auto header = try_from_object_content<checkpoint_header>(*content);
    if (!header.has_value() || header->shard != shard_) {
      return fail(current_name(), "is not a checkpoint header of this shard");
    }
    header_ = *header;
    header_version_ = version;
    epoch_ = header_.epoch;
    next_sequence_ = header_.through + 1;
  }
  step_ = header_.parts.empty() ? step::batch : step::part;
  return load_outcome::pending;
}

load_outcome log_reader::part_read(const std::optional<std::string>& content) {
  const std::string& name = header_.parts[parts_read_];
  if (!content.has_value()) {
    // A newer checkpoint has replaced the part since the header was read.
    return fail(name, "is absent");
  }
  const auto part = try_from_object_content<checkpoint_part>(*content);
  if (!part.has_value()) {
    return fail(name, "is not a checkpoint part");
  }
  for (const operation_record& record : part->records) {
    table_.load(record, name);
  }
  if (++parts_read_ == header_.parts.size()) {
    step_ = step::batch;
  }
  return load_outcome::pending;
}

load_outcome log_reader::batch_read(const std::optional<std::string>& content) {
  if (!content.has_value()) {
    return load_outcome::loaded;
  }
  const auto batch = try_from_object_content<log_batch>(*content);
  if (!batch.has_value() || batch->shard != shard_ || batch->sequence != next_sequence_) {
    return fail(current_name(), "is not the batch of this name");
  }
  for (const log_entry& entry : batch->entries) {
    table_.apply(entry, batch->epoch);
  }
  epoch_ = std::max(epoch_, batch->epoch);
  ++next_sequence_;
  return load_outcome::pending;
}

}  // namespace crocusdoor

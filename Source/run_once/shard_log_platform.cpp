// Handles results of platform operations and timers; shard_log.cpp handles ownership and the log.
#include <algorithm>
#include <utility>

#include "run_once/shard_log.h"

namespace crocusdoor {

void shard_log::result_arrived(const std::string& name) {
  outstanding_.erase(name);
}

shard_effects shard_log::object_created(const std::string& name, clock_reading at) {
  shard_effects effects;
  result_arrived(name);
  if (writer_.expects(name)) {
    handle_write_outcome(writer_.created(at.now, effects), at, effects);
  } else if (checkpoint_.expects(name)) {
    checkpoint_.part_created(table_, effects);
  }
  return finish(at, std::move(effects));
}

shard_effects shard_log::object_exists(const std::string& name, const std::string& content,
                                       clock_reading at) {
  shard_effects effects;
  result_arrived(name);
  if (writer_.expects(name)) {
    handle_write_outcome(writer_.exists(content, at.now, effects), at, effects);
  } else if (checkpoint_.expects(name)) {
    // The object name contains an identifier of this writer, so an earlier attempt took effect.
    checkpoint_.part_created(table_, effects);
  }
  return finish(at, std::move(effects));
}

shard_effects shard_log::object_read(const std::string& name,
                                     const std::optional<std::string>& content,
                                     object_version version, clock_reading at) {
  shard_effects effects;
  result_arrived(name);
  if (phase_ == phase::loading && reader_.expects(name)) {
    handle_load_outcome(reader_.read(content, version, effects), at, effects);
  } else if (writer_.expects(name)) {
    handle_write_outcome(writer_.read(content, at.now, effects), at, effects);
  } else if (checkpoint_.expects(name)) {
    handle_checkpoint_outcome(checkpoint_.header_read(content, version, table_, at.now, effects),
                              at, effects);
  }
  return finish(at, std::move(effects));
}

shard_effects shard_log::object_written(const std::string& name, object_version version,
                                        clock_reading at) {
  shard_effects effects;
  result_arrived(name);
  if (checkpoint_.expects(name)) {
    handle_checkpoint_outcome(checkpoint_.header_written(version, effects), at, effects);
  }
  return finish(at, std::move(effects));
}

shard_effects shard_log::object_changed(const std::string& name, clock_reading at) {
  shard_effects effects;
  result_arrived(name);
  if (checkpoint_.expects(name)) {
    checkpoint_.header_changed(effects);
  }
  return finish(at, std::move(effects));
}

shard_effects shard_log::object_result_unknown(const std::string& name, clock_reading at) {
  shard_effects effects;
  result_arrived(name);
  if (phase_ == phase::loading && reader_.expects(name)) {
    reader_.read_failed();
    load_failed(at, effects);
  } else if (writer_.expects(name)) {
    handle_write_outcome(writer_.result_unknown(at.now, effects), at, effects);
  } else if (checkpoint_.expects(name)) {
    checkpoint_.result_unknown(at.now, effects);
  }
  return finish(at, std::move(effects));
}

shard_effects shard_log::object_unavailable(const std::string& name, clock_reading at) {
  shard_effects effects;
  result_arrived(name);
  if (phase_ == phase::loading && reader_.expects(name)) {
    reader_.read_failed();
    load_failed(at, effects);
  } else if (writer_.expects(name)) {
    handle_write_outcome(writer_.unavailable(at.now, effects), at, effects);
  } else if (checkpoint_.expects(name)) {
    checkpoint_.unavailable(at.now);
  }
  return finish(at, std::move(effects));
}

shard_effects shard_log::tick(clock_reading at) {
  shard_effects effects;
  expire_requests(at, effects);
  if (phase_ == phase::loading && load_retry_at_.has_value() && at.now >= *load_retry_at_) {
    load_retry_at_.reset();
    reader_.resume(effects);
  }
  if (writer_.backing_off()) {
    handle_write_outcome(writer_.tick(at.now, effects), at, effects);
  }
  checkpoint_.tick(at.now, effects);
  return finish(at, std::move(effects));
}

std::optional<time_point> shard_log::next_wakeup() const {
  std::optional<time_point> earliest;
  const auto include_time = [&](const std::optional<time_point>& at) {
    if (at.has_value()) {
      earliest = std::min(earliest.value_or(*at), *at);
    }
  };
  include_time(pending_.earliest_deadline());
  for (const auto& [operation, request] : waiters_) {
    include_time(request.deadline);
  }
  for (const waiting_claim& request : early_claims_) {
    include_time(request.deadline);
  }
  include_time(writer_.retry_at());
  // If the header is due while a batch is in flight, only the result of the batch can start it, so
  // a wakeup at the checkpoint timer would have no effect.
  if (!writer_.busy() || !checkpoint_.header_due()) {
    include_time(checkpoint_.retry_at());
  }
  if (phase_ == phase::loading) {
    include_time(load_retry_at_);
  }
  if (phase_ == phase::waiting && outstanding_.empty()) {
    include_time(retake_at_);
  }
  if (phase_ == phase::active && !pending_.queue_empty() && !writer_.busy() &&
      !checkpoint_.header_in_flight()) {
    include_time(std::max(write_retry_at_.value_or(next_batch_at()), next_batch_at()));
  }
  return earliest;
}

}  // namespace crocusdoor

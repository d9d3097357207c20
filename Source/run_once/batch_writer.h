#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/time.h"
#include "run_once/retry_backoff.h"
#include "run_once/shard_effect.h"
#include "run_once/shard_record.h"

namespace crocusdoor {

/// Outcome of writing a batch, as far as it is known.
enum class write_outcome {
  pending,      ///< Not known yet; the write continues.
  durable,      ///< The batch is in the log at its sequence number.
  fenced,       ///< Another owner has used the sequence number.
  not_written,  ///< The platform refused every attempt; the batch is not in the log and won't be.
};

/// Writes one batch and determines whether it is in the log.
///
/// If a response is lost, the writer reads the object back and compares its nonce. An absent object
/// doesn't show that the write failed, because the request may still arrive; the writer then writes
/// the same content again.
///
/// Deleting batches weakens create-if-absent: a writer that was paused for a long time could create
/// a batch whose sequence number was already used and its object deleted. Batches are deleted only
/// after a checkpoint includes them and more than `fence_window` has passed since they were
/// written. A write whose outcome is known within `fence_window` of the start of the previous one
/// is therefore safe. Otherwise the writer reads the checkpoint header after the write; if the
/// header includes the sequence number, it was used before and the writer is fenced.
class batch_writer {
 public:
  batch_writer(const std::string& seed, duration fence_window, duration backoff_first,
               duration backoff_cap);

  /// Starts to write `batch`. `previous_batch_started_at` is when the write of the previous durable
  /// batch was started; if empty (first batch of an epoch), the checkpoint header is always
  /// checked.
  void start(const log_batch& batch, std::optional<time_point> previous_batch_started_at,
             time_point now, shard_effects& effects);

  write_outcome created(time_point now, shard_effects& effects);
  write_outcome exists(const std::string& content, time_point now, shard_effects& effects);
  write_outcome read(const std::optional<std::string>& content, time_point now,
                     shard_effects& effects);
  write_outcome result_unknown(time_point now, shard_effects& effects);
  write_outcome unavailable(time_point now, shard_effects& effects);
  write_outcome tick(time_point now, shard_effects& effects);

  [[nodiscard]] bool busy() const noexcept { return step_ != step::idle; }
  /// Whether the last attempt failed and the next one waits for `retry_at`.
  [[nodiscard]] bool backing_off() const noexcept { return retry_at_.has_value(); }
  [[nodiscard]] std::optional<time_point> retry_at() const noexcept { return retry_at_; }
  /// Whether the result of an operation on this object belongs to this writer.
  [[nodiscard]] bool expects(const std::string& name) const;
  [[nodiscard]] time_point started_at() const noexcept { return started_at_; }
  /// Drops the batch; results that arrive later are ignored.
  void abandon();

 private:
  enum class step { idle, writing, reading_back, checking_header };

  void start_step(step next, shard_effects& effects);
  write_outcome back_off(step next, time_point now);
  write_outcome accept(time_point now, shard_effects& effects);
  write_outcome finish(write_outcome outcome);

  duration fence_window_;
  retry_backoff backoff_;
  step step_ = step::idle;
  std::string name_;
  std::string header_name_;
  std::string content_;
  std::string nonce_;
  std::uint64_t sequence_ = 0;
  std::optional<time_point> previous_batch_started_at_;
  time_point started_at_;
  bool may_be_written_ = false;
  std::uint32_t rewrites_ = 0;
  std::optional<time_point> retry_at_;
};

}  // namespace crocusdoor

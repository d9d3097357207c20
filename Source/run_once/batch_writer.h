#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/time.h"
#include "run_once/retry_backoff.h"
#include "run_once/shard_effect.h"
#include "run_once/shard_record.h"

namespace crocusdoor {

/// What is known of the batch being written.
enum class write_outcome {
  pending,      ///< Not known yet.
  durable,      ///< The batch is in the log at its sequence number.
  fenced,       ///< Another owner has the sequence number.
  not_written,  ///< The platform refused every attempt; the batch is not and will not be there.
};

/// Writes one batch and settles whether it is in the log.
///
/// A lost response is settled by reading the object back and comparing the nonce. An absent object
/// proves nothing, because the write may still arrive; the same content is then written again.
///
/// Deleted batches weaken create-if-absent: a writer that was paused for long could create a
/// sequence number that was used and deleted. Batches are deleted only after a checkpoint includes
/// them and after `fence_window` has passed since they were written. A write that is settled within
/// the window after the previous one was started is therefore safe; otherwise the checkpoint header
/// is read after the write, and a header that includes the sequence number means that it was used.
class batch_writer {
 public:
  batch_writer(const std::string& seed, duration fence_window, duration backoff_first,
               duration backoff_cap);

  /// Starts to write; `confirmed_at` is when the previous accepted batch was started, nothing to
  /// check the header in any case (first batch of an epoch).
  void start(const log_batch& batch, std::optional<time_point> confirmed_at, time_point now,
             shard_effects& effects);

  write_outcome created(time_point now, shard_effects& effects);
  write_outcome exists(const std::string& content, time_point now, shard_effects& effects);
  write_outcome read(const std::optional<std::string>& content, time_point now,
                     shard_effects& effects);
  write_outcome result_unknown(time_point now, shard_effects& effects);
  write_outcome unavailable(time_point now, shard_effects& effects);
  write_outcome tick(time_point now, shard_effects& effects);

  [[nodiscard]] bool busy() const noexcept { return step_ != step::idle; }
  /// The platform did not answer and the next attempt waits.
  [[nodiscard]] bool backing_off() const noexcept { return retry_at_.has_value(); }
  [[nodiscard]] std::optional<time_point> retry_at() const noexcept { return retry_at_; }
  /// Whether the result of an operation on this object belongs to this writer.
  [[nodiscard]] bool expects(const std::string& name) const;
  [[nodiscard]] time_point started_at() const noexcept { return started_at_; }
  /// Forgets the batch; results that still arrive are ignored.
  void abandon();

 private:
  enum class step { idle, writing, reading_back, checking_header };

  void issue(step next, shard_effects& effects);
  write_outcome wait(step next, time_point now);
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
  std::optional<time_point> confirmed_at_;
  time_point started_at_;
  bool may_be_written_ = false;
  std::uint32_t repeats_ = 0;
  std::optional<time_point> retry_at_;
};

}  // namespace crocusdoor

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "run_once/batch_writer.h"
#include "run_once/checkpoint_writer.h"
#include "run_once/clock_reading.h"
#include "run_once/log_reader.h"
#include "run_once/operation_table.h"
#include "run_once/pending_changes.h"
#include "run_once/retry_backoff.h"
#include "run_once/shard_effect.h"

namespace crocusdoor {

struct shard_log_settings {
  /// Longest time between two accepted batches without a check of the checkpoint header.
  duration fence_window = std::chrono::seconds(60);
  /// Age at which batches that a checkpoint includes are deleted. Must exceed `fence_window` by
  /// more than the clocks of two processes can drift apart in that time.
  duration delete_age = std::chrono::seconds(120);
  duration backoff_first = std::chrono::milliseconds(50);
  duration backoff_cap = std::chrono::seconds(5);
  /// Mean time between two batches under load; 0 starts each batch as soon as the previous one is
  /// durable. With many shards this keeps the owner within its share of the platform's writes.
  duration write_interval{0};
  /// Batches that a shard may start without a pause after a quiet time.
  std::uint32_t write_burst = 8;
  /// Pause after another owner has taken the log, before this instance tries to take it again.
  duration retake_delay = std::chrono::seconds(2);
  /// Assumed bound on the clock skew; a claim may be in use that long after its expiry.
  std::chrono::milliseconds clock_skew = std::chrono::seconds(30);
  std::size_t batch_limit_bytes = 700'000;
  /// A partly filled part is written again by each checkpoint, so small parts save work; each part
  /// takes about 80 bytes of the header, which limits their number to about 10,000.
  std::size_t part_limit_bytes = 250'000;
  /// Larger answers are not recorded; a repeat learns only that the operation ran.
  std::size_t answer_limit_bytes = 200'000;
  std::size_t pending_limit = 10'000;
  /// Number of batches between two checkpoints.
  std::uint64_t checkpoint_interval = 64;
};

/// Settlement of an in-doubt operation by an operator, who has looked it up in the target's books.
struct operation_resolution {
  bool ran = false;
  std::optional<recorded_response> answer;  ///< Given to repeats if the operation ran.
};

/// Operation in the operator's list.
struct operation_status {
  operation_record record;
  bool in_doubt = false;
  /// In doubt: earliest wall time, in ms since the Unix epoch, at which it can be resolved.
  std::int64_t resolvable_at_ms = 0;
};

/// State machine of one shard of the run-once log. It performs no I/O: each input returns effects,
/// and the shell reports exactly one result for each create, read and write to the same object.
///
/// The owner grants a claim only after the batch that holds it is durable. Batches are created at
/// consecutive sequence numbers only if absent, so that an owner that was replaced without noticing
/// fails at its next write. See docs/design/run-once.md.
class shard_log {
 public:
  /// `random` seeds the identifiers of claims and batches and the jitter.
  shard_log(std::uint32_t shard, random_source& random, const shard_log_settings& settings = {});

  /// This instance is the first live member of the shard. Repeated calls change nothing.
  shard_effects take_ownership(clock_reading at);
  /// Another instance is; waiting requests are answered.
  shard_effects give_up_ownership(clock_reading at);

  /// Asks for permission to execute an operation; the answer may come with a later input.
  shard_effects request_claim(ticket_number ticket, const claim_parameters& parameters,
                              clock_reading at);
  /// Reports what became of a claim. `outcome` not_run gives the claim back: the caller guarantees
  /// that the request will never be executed under it. Answered when durable.
  shard_effects complete(ticket_number ticket, const claim_id& id, const operation_key& operation,
                         verdict outcome, const std::optional<recorded_response>& answer,
                         clock_reading at);
  /// Settles an in-doubt operation. Refused before its claim's expiry plus the clock skew.
  shard_effects resolve(ticket_number ticket, const operation_key& operation,
                        const operation_resolution& resolution, clock_reading at);

  shard_effects object_created(const std::string& name, clock_reading at);
  /// A create found another object, which has the given content.
  shard_effects object_exists(const std::string& name, const std::string& content,
                              clock_reading at);
  shard_effects object_read(const std::string& name, const std::optional<std::string>& content,
                            object_version version, clock_reading at);
  shard_effects object_written(const std::string& name, object_version version, clock_reading at);
  /// A conditional write found another version.
  shard_effects object_changed(const std::string& name, clock_reading at);
  /// No response; a create or write may have taken effect or may still do so.
  shard_effects object_result_unknown(const std::string& name, clock_reading at);
  /// The platform certainly did nothing and will not.
  shard_effects object_unavailable(const std::string& name, clock_reading at);

  /// To be called at `next_wakeup` or later.
  shard_effects tick(clock_reading at);
  /// Earliest time at which `tick` has something to do.
  [[nodiscard]] std::optional<time_point> next_wakeup() const;

  /// Whether claims are being granted.
  [[nodiscard]] bool active() const noexcept { return phase_ == phase::active; }
  [[nodiscard]] std::uint32_t shard() const noexcept { return shard_; }
  /// Why the log could not be taken over; empty if it could.
  [[nodiscard]] const std::string& problem() const noexcept { return reader_.problem(); }
  /// Operations that the owner knows of; empty if it is not active.
  [[nodiscard]] std::vector<operation_status> operations(wall_time wall) const;
  [[nodiscard]] std::optional<operation_status> find_operation(const operation_key& operation,
                                                               wall_time wall) const;

 private:
  enum class phase {
    not_owner,
    waiting,   // Until results of earlier operations have arrived and `retake_at_` has passed.
    loading,   // Reads the log.
    starting,  // Writes the epoch batch.
    active,
  };

  struct waiting_claim {
    ticket_number ticket = 0;
    claim_parameters parameters;
    time_point deadline;
  };
  struct waiting_completion {
    ticket_number ticket = 0;
    log_entry entry;
  };

  shard_effects finish(clock_reading at, shard_effects effects);
  void advance(clock_reading at, shard_effects& effects);
  void result_arrived(const std::string& name);
  [[nodiscard]] std::string next_identifier();

  void load_finished(load_outcome outcome, clock_reading at, shard_effects& effects);
  void load_failed(clock_reading at, shard_effects& effects);
  void become_active(clock_reading at, shard_effects& effects);
  void lose_ownership(clock_reading at, duration retake_delay, shard_effects& effects);

  void consider_claim(const waiting_claim& request, clock_reading at, shard_effects& effects);
  void consider_known(const waiting_claim& request, const operation_record& record,
                      clock_reading at, shard_effects& effects);
  void add_claim(const waiting_claim& request, clock_reading at, shard_effects& effects);
  void consider_completion(const waiting_completion& completion, clock_reading at,
                           shard_effects& effects);
  void settle_waiters(const operation_key& operation, clock_reading at, shard_effects& effects);
  void refuse_new_claims(const std::string& reason, clock_reading at, shard_effects& effects);
  void refuse_claim(const pending_change& change, const std::string& reason, duration retry_after,
                    shard_effects& effects);
  void expire_requests(clock_reading at, shard_effects& effects);
  void release(const pending_change& change, clock_reading at);

  void start_batch(clock_reading at, shard_effects& effects);
  void write_settled(write_outcome outcome, clock_reading at, shard_effects& effects);
  void batch_durable(clock_reading at, shard_effects& effects);
  void change_durable(const pending_change& change, clock_reading at, shard_effects& effects);
  void batch_refused(clock_reading at, shard_effects& effects);
  void checkpoint_settled(checkpoint_outcome outcome, clock_reading at, shard_effects& effects);
  void start_checkpoint(clock_reading at, shard_effects& effects);
  void delete_old_batches(clock_reading at, shard_effects& effects);
  void note_batches(std::uint64_t first, std::uint64_t last, time_point now);

  [[nodiscard]] time_point next_batch_at() const;
  [[nodiscard]] bool platform_down(time_point now) const;
  [[nodiscard]] duration retry_delay(time_point now) const;
  [[nodiscard]] bool in_doubt(const operation_record& record, wall_time wall) const;
  [[nodiscard]] operation_status status_of(const operation_record& record, wall_time wall) const;

  std::uint32_t shard_;
  shard_log_settings settings_;
  std::string seed_;
  std::uint64_t identifiers_ = 0;

  phase phase_ = phase::not_owner;
  std::set<std::string> outstanding_;  // Objects whose results the shell still owes.
  std::optional<time_point> retake_at_;
  std::optional<time_point> load_retry_at_;
  std::optional<time_point> write_retry_at_;
  retry_backoff backoff_;

  operation_table table_;
  pending_changes pending_;
  batch_writer writer_;
  log_reader reader_;
  checkpoint_writer checkpoint_;

  std::uint64_t next_sequence_ = 1;
  std::uint64_t epoch_ = 0;
  std::optional<time_point> confirmed_at_;
  time_point write_budget_used_until_;  // Advances by `write_interval` with each batch.
  /// Batches that have not been deleted, with the time at which this owner knew of them.
  std::deque<std::pair<std::uint64_t, time_point>> kept_batches_;

  std::vector<waiting_claim> early_claims_;
  std::vector<waiting_completion> early_completions_;
  std::multimap<operation_key, waiting_claim> waiters_;
};

}  // namespace crocusdoor

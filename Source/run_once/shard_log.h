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
  /// Maximum time from the start of one durable batch to the end of the next one without a check of
  /// the checkpoint header.
  duration fence_window = std::chrono::seconds(60);
  /// Age at which batches that a checkpoint includes are deleted. It must exceed `fence_window` by
  /// more than the clocks of two processes can drift apart during that time.
  duration delete_age = std::chrono::seconds(120);
  duration backoff_first = std::chrono::milliseconds(50);
  duration backoff_cap = std::chrono::seconds(5);
  /// Mean time between two batches under load; with 0, each batch starts as soon as the previous
  /// one is durable. If there are many shards, this keeps an owner within its share of the
  /// platform's write capacity.
  duration write_interval{0};
  /// Number of batches that a shard may start without `write_interval` between them after it was
  /// idle.
  std::uint32_t write_burst = 8;
  /// Delay before this instance tries to take over the log again after another owner has fenced it.
  duration retake_delay = std::chrono::seconds(2);
  /// Assumed upper bound of the clock skew; a claim may still be in use for that long after its
  /// expiry.
  std::chrono::milliseconds clock_skew = std::chrono::seconds(30);
  std::size_t batch_limit_bytes = 700'000;
  /// Each checkpoint rewrites its partly filled part, so small parts mean less to write. Each part
  /// takes about 80 bytes of the header, which limits the number of parts to about 10,000.
  std::size_t part_limit_bytes = 250'000;
  /// Larger responses are not recorded; a repeated request learns only that the operation ran.
  std::size_t answer_limit_bytes = 200'000;
  std::size_t pending_limit = 10'000;
  /// Number of batches between two checkpoints.
  std::uint64_t checkpoint_interval = 64;
};

/// Outcome of an in-doubt operation, as an operator found it in the target's own records.
struct operation_resolution {
  bool ran = false;
  std::optional<recorded_response> answer;  ///< Returned to repeated requests if the operation ran.
};

/// Operation as it is listed for operators.
struct operation_status {
  operation_record record;
  bool in_doubt = false;
  /// Earliest wall time, in ms since the Unix epoch, at which it can be resolved if it is in doubt.
  std::int64_t resolvable_at_ms = 0;
};

/// State machine of one shard of the run-once log. It performs no I/O: each input returns effects
/// for the caller to execute, and the caller reports exactly one result for each create, read and
/// write to the same `shard_log`.
///
/// The owner grants a claim only after the batch that contains it is durable. Batches are created
/// at consecutive sequence numbers, and only if the object is absent, so the next write of an owner
/// that was replaced without noticing fails. See docs/design/run-once.md.
class shard_log {
 public:
  /// `random` provides the seed for the identifiers of claims and batches and for the jitter.
  shard_log(std::uint32_t shard, random_source& random, const shard_log_settings& settings = {});

  /// To be called when this instance has become the owner of the shard: the live member that ranks
  /// first for it. Repeated calls change nothing.
  shard_effects take_ownership(clock_reading at);
  /// To be called when another instance owns the shard. Responds to all waiting requests.
  shard_effects give_up_ownership(clock_reading at);

  /// Requests a claim for an operation; the response may be among the effects of a later input.
  shard_effects request_claim(ticket_number ticket, const claim_parameters& parameters,
                              clock_reading at);
  /// Reports the outcome of a claim. `outcome` not_run returns the claim unused: the reporter
  /// guarantees that the request will never be executed under it. The response follows once the
  /// completion is durable.
  shard_effects complete(ticket_number ticket, const claim_id& id, const operation_key& operation,
                         verdict outcome, const std::optional<recorded_response>& answer,
                         clock_reading at);
  /// Records the outcome of an in-doubt operation. Refused until the expiry of its claim plus the
  /// clock skew has passed.
  shard_effects resolve(ticket_number ticket, const operation_key& operation,
                        const operation_resolution& resolution, clock_reading at);

  shard_effects object_created(const std::string& name, clock_reading at);
  /// A create found an existing object, which has the given content.
  shard_effects object_exists(const std::string& name, const std::string& content,
                              clock_reading at);
  shard_effects object_read(const std::string& name, const std::optional<std::string>& content,
                            object_version version, clock_reading at);
  shard_effects object_written(const std::string& name, object_version version, clock_reading at);
  /// A conditional write found another version.
  shard_effects object_changed(const std::string& name, clock_reading at);
  /// No response arrived; a create or write may have taken effect or may still do so.
  shard_effects object_result_unknown(const std::string& name, clock_reading at);
  /// The platform has not executed the operation and will not.
  shard_effects object_unavailable(const std::string& name, clock_reading at);

  /// To be called at `next_wakeup` or later.
  shard_effects tick(clock_reading at);
  /// Earliest time at which `tick` has work to do; empty if no timer is set.
  [[nodiscard]] std::optional<time_point> next_wakeup() const;

  /// Whether this instance owns the shard, has loaded its log and grants claims.
  [[nodiscard]] bool active() const noexcept { return phase_ == phase::active; }
  [[nodiscard]] std::uint32_t shard() const noexcept { return shard_; }
  /// Why the log could not be loaded; empty if no object was damaged or missing.
  [[nodiscard]] const std::string& problem() const noexcept { return reader_.problem(); }
  /// All operations in the log of this shard; empty unless `active`.
  [[nodiscard]] std::vector<operation_status> operations(wall_time wall) const;
  [[nodiscard]] std::optional<operation_status> find_operation(const operation_key& operation,
                                                               wall_time wall) const;

 private:
  enum class phase {
    not_owner,
    waiting,   // Waits for the results of earlier platform operations and for `retake_at_`.
    loading,   // Reads the log.
    starting,  // Writes the batch that starts the epoch.
    active,    // Grants claims.
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

  void handle_load_outcome(load_outcome outcome, clock_reading at, shard_effects& effects);
  void load_failed(clock_reading at, shard_effects& effects);
  void become_active(clock_reading at, shard_effects& effects);
  void lose_ownership(clock_reading at, duration retake_delay, shard_effects& effects);

  void handle_claim_request(const waiting_claim& request, clock_reading at, shard_effects& effects);
  void handle_known_operation(const waiting_claim& request, const operation_record& record,
                              clock_reading at, shard_effects& effects);
  void add_claim(const waiting_claim& request, clock_reading at, shard_effects& effects);
  void handle_completion(const waiting_completion& completion, clock_reading at,
                         shard_effects& effects);
  void reevaluate_waiters(const operation_key& operation, clock_reading at, shard_effects& effects);
  void refuse_new_claims(const std::string& reason, clock_reading at, shard_effects& effects);
  void refuse_claim(const pending_change& change, const std::string& reason, duration retry_after,
                    shard_effects& effects);
  void expire_requests(clock_reading at, shard_effects& effects);
  void release_unused_claim(const pending_change& change, clock_reading at);

  void start_batch(clock_reading at, shard_effects& effects);
  void handle_write_outcome(write_outcome outcome, clock_reading at, shard_effects& effects);
  void batch_durable(clock_reading at, shard_effects& effects);
  void change_durable(const pending_change& change, clock_reading at, shard_effects& effects);
  void batch_not_written(clock_reading at, shard_effects& effects);
  void handle_checkpoint_outcome(checkpoint_outcome outcome, clock_reading at,
                                 shard_effects& effects);
  void start_checkpoint(clock_reading at, shard_effects& effects);
  void delete_old_batches(clock_reading at, shard_effects& effects);
  void add_kept_batches(std::uint64_t first, std::uint64_t last, time_point now);

  [[nodiscard]] time_point next_batch_at() const;
  [[nodiscard]] bool platform_down(time_point now) const;
  [[nodiscard]] duration retry_delay(time_point now) const;
  [[nodiscard]] bool in_doubt(const operation_record& record, wall_time wall) const;
  [[nodiscard]] operation_status status_of(const operation_record& record, wall_time wall) const;

  std::uint32_t shard_;
  shard_log_settings settings_;
  std::string seed_;
  std::uint64_t identifier_count_ = 0;

  phase phase_ = phase::not_owner;
  std::set<std::string> outstanding_;  // Objects with an operation in flight.
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
  std::optional<time_point> last_batch_started_at_;
  time_point write_budget_used_until_;  // Rate limiter; each batch adds `write_interval`.
  /// Sequence numbers of batches that have not been deleted, with the time at which this owner
  /// wrote them or, for those of former owners, became active.
  std::deque<std::pair<std::uint64_t, time_point>> kept_batches_;

  std::vector<waiting_claim> early_claims_;              // Wait for the takeover to finish.
  std::vector<waiting_completion> early_completions_;    // Wait for the takeover to finish.
  std::multimap<operation_key, waiting_claim> waiters_;  // Wait for an earlier request.
};

}  // namespace crocusdoor

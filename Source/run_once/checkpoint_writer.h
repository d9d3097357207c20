#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "run_once/operation_table.h"
#include "run_once/retry_backoff.h"
#include "run_once/shard_effect.h"
#include "run_once/shard_record.h"

namespace crocusdoor {

enum class checkpoint_outcome {
  pending,
  written,  ///< The header is durable; the parts that it no longer lists may be deleted.
  fenced,   ///< Another owner's header already includes all batches of this checkpoint or more.
};

/// Writes the checkpoints of one shard: first immutable parts smaller than the platform's limit for
/// values, then, by conditional write, the header that lists them.
///
/// Parts that are full of settled records are kept by later checkpoints; each checkpoint rewrites
/// only the last, partly filled part and the open operations. Parts are written concurrently with
/// batches. The header is written only while no batch is in flight, because a batch writer may read
/// the same object, and each result must belong to exactly one writer.
class checkpoint_writer {
 public:
  checkpoint_writer(std::uint32_t shard, const std::string& seed, std::size_t part_limit_bytes,
                    duration backoff_first, duration backoff_cap);

  /// Continues from the checkpoint that a `log_reader` has read.
  void adopt(const checkpoint_header& header, object_version version, operation_table& table);

  /// Copies the state after batch `through` and starts to write its parts. `identifier` must be
  /// unique; it becomes part of the object names.
  void start(operation_table& table, std::uint64_t through, std::uint64_t first_batch,
             std::uint64_t epoch, const std::string& identifier, shard_effects& effects);

  [[nodiscard]] bool busy() const noexcept { return step_ != step::idle; }
  /// Whether `write_header` may be called now, provided that no batch is in flight.
  [[nodiscard]] bool header_ready(time_point now) const;
  /// Whether all parts are durable and the header comes next, now or after a backoff.
  [[nodiscard]] bool header_due() const noexcept { return step_ == step::header_waiting; }
  /// Whether a write or read of the header is in flight; no batch may be started then.
  [[nodiscard]] bool header_in_flight() const;
  void write_header(shard_effects& effects);

  [[nodiscard]] bool expects(const std::string& name) const;
  void part_created(operation_table& table, shard_effects& effects);
  checkpoint_outcome header_written(object_version version, shard_effects& effects);
  void header_changed(shard_effects& effects);
  checkpoint_outcome header_read(const std::optional<std::string>& content, object_version version,
                                 operation_table& table, time_point now, shard_effects& effects);
  void result_unknown(time_point now, shard_effects& effects);
  void unavailable(time_point now);
  void tick(time_point now, shard_effects& effects);

  [[nodiscard]] const checkpoint_header& header() const noexcept { return current_; }
  [[nodiscard]] std::optional<time_point> retry_at() const noexcept { return retry_at_; }
  void abandon();

 private:
  enum class step { idle, writing_part, header_waiting, writing_header, reading_header };

  struct part_to_write {
    std::string name;
    std::string content;
    std::vector<operation_record> records;
    bool kept = false;  // Full of settled records; later checkpoints keep it.
  };

  void split_into_parts(const std::vector<operation_record>& records, bool may_be_kept,
                        const std::string& identifier);
  void add_part(std::vector<operation_record> records, bool kept, const std::string& identifier);
  void write_next_part(shard_effects& effects);
  void back_off(time_point now);
  void start_over(const checkpoint_header& found, operation_table& table, shard_effects& effects);

  std::uint32_t shard_;
  std::size_t part_limit_bytes_;
  retry_backoff backoff_;
  step step_ = step::idle;
  std::deque<part_to_write> parts_;
  checkpoint_header current_;  // Last header known to be durable.
  checkpoint_header next_;
  std::vector<std::string> rewritten_parts_;
  object_version version_ = 0;
  bool in_flight_ = false;
  std::optional<time_point> retry_at_;
};

}  // namespace crocusdoor

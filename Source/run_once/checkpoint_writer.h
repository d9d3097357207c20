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
  written,  ///< The header is durable; what it replaces may be deleted.
  fenced,   ///< The header of another owner includes batches this owner has not written.
};

/// Writes the checkpoints of one shard: immutable parts below the platform's value limit, then the
/// header that names them, by conditional write.
///
/// Settled records fill parts that later checkpoints keep; only the last, partly filled part and
/// open operations are written again each time. The parts are written beside the batches; the
/// header is written while no batch is in flight, so that a result belongs to one writer only.
class checkpoint_writer {
 public:
  checkpoint_writer(std::uint32_t shard, const std::string& seed, std::size_t part_limit_bytes,
                    duration backoff_first, duration backoff_cap);

  /// Takes over the checkpoint that a `log_reader` found.
  void adopt(const checkpoint_header& header, object_version version, operation_table& table);

  /// Copies the state after batch `through` and starts to write its parts. `identifier` is unique.
  void start(operation_table& table, std::uint64_t through, std::uint64_t first_batch,
             std::uint64_t epoch, const std::string& identifier, shard_effects& effects);

  [[nodiscard]] bool busy() const noexcept { return step_ != step::idle; }
  /// All parts are durable; `write_header` may be called when no batch is in flight.
  [[nodiscard]] bool header_ready(time_point now) const;
  /// The header operation is in flight; no batch may be started.
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
    bool kept = false;  // Filled with settled records; later checkpoints keep it.
  };

  void cut_parts(const std::vector<operation_record>& records, bool may_be_kept,
                 const std::string& identifier);
  void close_part(std::vector<operation_record> records, bool kept, const std::string& identifier);
  void write_next_part(shard_effects& effects);
  void wait(time_point now);
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

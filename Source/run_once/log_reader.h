#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "run_once/operation_table.h"
#include "run_once/shard_effect.h"
#include "run_once/shard_record.h"

namespace crocusdoor {

enum class load_outcome { pending, loaded, failed };

/// Reads the log of one shard at takeover: the checkpoint header, its parts, then the batches in
/// order of sequence number up to the first absent one. One read is in flight at a time.
class log_reader {
 public:
  explicit log_reader(std::uint32_t shard) : shard_(shard) {}

  /// Discards everything read so far and starts with the checkpoint header.
  void start(shard_effects& effects);
  /// Repeats the read that failed; starts from the checkpoint header if an object was damaged or
  /// missing.
  void resume(shard_effects& effects);

  /// Handles the content of the awaited object and requests the next one.
  load_outcome read(const std::optional<std::string>& content, object_version version,
                    shard_effects& effects);

  /// Whether the result of a read of this object is awaited.
  [[nodiscard]] bool expects(const std::string& name) const { return name == awaited_; }
  /// The awaited read failed, or its result is no longer wanted.
  void read_failed() { awaited_.clear(); }

  /// State after the last batch read.
  [[nodiscard]] const operation_table& table() const noexcept { return table_; }
  [[nodiscard]] std::uint64_t next_sequence() const noexcept { return next_sequence_; }
  /// Highest epoch read; 0 if the log is empty.
  [[nodiscard]] std::uint64_t epoch() const noexcept { return epoch_; }
  [[nodiscard]] const checkpoint_header& header() const noexcept { return header_; }
  [[nodiscard]] object_version header_version() const noexcept { return header_version_; }
  /// Why the last load failed.
  [[nodiscard]] const std::string& problem() const noexcept { return problem_; }

 private:
  enum class step { header, part, batch };

  [[nodiscard]] std::string current_name() const;
  load_outcome request_next(shard_effects& effects);
  load_outcome fail(const std::string& name, const std::string& problem);
  load_outcome header_read(const std::optional<std::string>& content, object_version version);
  load_outcome part_read(const std::optional<std::string>& content);
  load_outcome batch_read(const std::optional<std::string>& content);

  std::uint32_t shard_;
  step step_ = step::header;
  std::string awaited_;
  std::string problem_;
  bool restart_needed_ = false;
  std::size_t parts_read_ = 0;
  checkpoint_header header_;
  object_version header_version_ = 0;
  operation_table table_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t epoch_ = 0;
};

}  // namespace crocusdoor

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"
#include "run_once/shard_record.h"

namespace crocusdoor {

/// State of all operations of one shard, obtained by applying the batches of its log in order. The
/// same batches in the same order give the same table on every owner. An operation is settled if it
/// is done or released, and open otherwise.
class operation_table {
 public:
  /// Current record of an operation, or null.
  [[nodiscard]] const operation_record* find(const operation_key& operation) const;

  /// Whether `apply` would change the record of the operation. Claims always change it.
  [[nodiscard]] bool accepts(const log_entry& entry) const;

  /// Whether the record already has the outcome of a completion or resolution of its claim, so that
  /// a repeated one is answered as recorded.
  [[nodiscard]] bool reflects(const log_entry& entry) const;

  /// Applies one durable change; returns false if its claim is no longer open.
  bool apply(const log_entry& entry, std::uint64_t epoch);

  /// Adds a record read from a checkpoint part; it replaces a record from an earlier part.
  void load(const operation_record& record, const std::string& part);

  /// Records whose current state no checkpoint part contains.
  [[nodiscard]] std::vector<operation_record> not_checkpointed() const;

  /// Marks the records as contained in `part`, except those that changed after they were copied.
  void assign_to_part(const std::vector<operation_record>& records, const std::string& part);

  /// Marks all records of a part as not contained in any part, so that the next checkpoint writes
  /// them again.
  void remove_from_part(const std::string& part);

  /// Whether a part contains the current state of any operation.
  [[nodiscard]] bool part_in_use(const std::string& part) const {
    return operations_by_part_.contains(part);
  }

  /// Whether a part contains the current state of an operation that is not settled.
  [[nodiscard]] bool part_has_open_operations(const std::string& part) const;

  /// Removes settled operations whose retention time has passed; open ones are never removed.
  void discard_past_retention(wall_time wall);

  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
  void for_each(const std::function<void(const operation_record&)>& visit) const;

 private:
  struct table_entry {
    operation_record record;
    std::string part;  // Empty if no checkpoint part contains this state.
  };

  void put(const operation_record& record, const std::string& part);
  void move_to_part(table_entry& entry, const std::string& part);
  void index_retention_end(const operation_record& record);

  std::map<operation_key, table_entry> entries_;
  std::set<operation_key> not_checkpointed_;
  std::map<std::string, std::set<operation_key>> operations_by_part_;
  std::set<std::pair<std::int64_t, operation_key>> by_retention_end_;
};

/// End of the retention time of a settled record, in ms since the Unix epoch.
[[nodiscard]] std::int64_t retained_until_ms(const operation_record& record);

}  // namespace crocusdoor
